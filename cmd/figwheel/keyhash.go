package main

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/result"
	"figwheel/site"
)

// keyHashCommand returns the command that hashes the key of a client account. It reads
// the key from in, since the arguments of a command are shown to other users.
func keyHashCommand(a *kingpin.Application, in io.Reader) command {
	c := a.Command("key-hash", "Read the key of a client account from standard input, one line, and print its hash for KeyHashes.")
	return command{c.FullCommand(), func(_ context.Context, o io.Writer) error { return printKeyHash(in, o) }}
}

// printKeyHash prints the hash of the key in the first line of in. A key that cannot be
// the whole value of a header is BadValue.
func printKeyHash(in io.Reader, o io.Writer) error {
	k, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return result.Wrap(result.FileUnreadable, err, "standard input")
	}
	k = strings.TrimSuffix(strings.TrimSuffix(k, "\n"), "\r")
	if k == "" || strings.TrimSpace(k) != k {
		return result.New(result.BadValue, "the key is empty, or begins or ends with a space")
	}
	h := site.HashKey(k)
	_, _ = fmt.Fprintln(o, hex.EncodeToString(h[:]))
	return nil
}
