//go:build !soak

package lrmember

const simSeeds = uint64(10)
