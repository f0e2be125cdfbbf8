//go:build !soak

package lrlimit_test

const seeds = 12
