//go:build !soak

package lrstate

const simSeeds = uint64(20)
