// Package hoptest has servers whose answers are faulty, for tests of the programs that read
// them.
package hoptest
