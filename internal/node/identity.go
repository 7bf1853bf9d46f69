package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
)

const (
	identityName = "identity"
	nextIdentity = "identity.next"
)

// identity is who a control instance is: an id that lives as long as its
// disk, and the voters of the first start if it was one of them. An instance
// whose disk is lost gets another id at the same address, so that nothing the
// old one promised can be counted or broken by the new one.
type identity struct {
	id       string
	founders []string
}

// loadIdentity reads the identity, or makes and syncs it.
func loadIdentity(files storage.Files, c ControlConfig) (identity, error) {
	data, err := files.Read(identityName)
	if err == nil {
		return parseIdentity(string(data))
	}
	if !errors.Is(err, os.ErrNotExist) {
		return identity{}, fault.Wrap(fault.DataFolder, err)
	}
	made := newIdentity(c)
	return made, fault.Wrap(fault.DataFolder, saveIdentity(files, made))
}

// newIdentity makes a founder of a seed at the very first start, and somebody
// new otherwise.
func newIdentity(c ControlConfig) identity {
	address := c.Peer.String()
	var founders []string
	isSeed := false
	for _, seed := range c.Seeds {
		founders = append(founders, seed.String())
		isSeed = isSeed || seed == c.Peer
	}
	if c.First && isSeed {
		return identity{id: address, founders: founders}
	}
	return identity{id: fmt.Sprintf("%s#%08x", address, rand.Uint32())}
}

// parseIdentity reads the id and the founders, a line each, and an end mark.
func parseIdentity(data string) (identity, error) {
	lines := strings.Split(data, "\n")
	if len(lines) < 2 || lines[len(lines)-1] != "." {
		return identity{}, fault.New(fault.DamagedLog, "the identity file is damaged")
	}
	return identity{id: lines[0], founders: lines[1 : len(lines)-1]}, nil
}

func saveIdentity(files storage.Files, i identity) error {
	f, err := files.Create(nextIdentity)
	if err != nil {
		return err
	}
	text := strings.Join(append(append([]string{i.id}, i.founders...), "."), "\n")
	_, err = f.Write([]byte(text))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return errors.Join(files.Rename(nextIdentity, identityName), files.SyncDir())
}
