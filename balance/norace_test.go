//go:build !race

package balance

const raced = false
