package pier

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	addressesTimeout  = time.Second     // for one request for addresses
	maxAddressesBytes = 1 << 20         // of an answer with addresses
	avoidDuration     = 5 * time.Second // for which a failed address is used only if all have failed
)

// pickAddress returns a random address, after a refresh of the addresses if they have expired. It avoids addresses that
// have failed recently, unless all have.
func (c *Client) pickAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	stale := time.Now().After(c.refreshAt)
	c.mu.Unlock()
	if stale && !c.SeedsOnly {
		if err := c.refreshAddresses(ctx); err != nil {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.Seeds
	if !c.SeedsOnly {
		candidates = addrsFrom(c.addresses)
	}
	if len(candidates) == 0 {
		return "", &Error{Op: "addresses", Kind: NoEntry, Problem: wire.Problem{Ran: wire.RanNo}}
	}
	var usable []string
	for _, addr := range candidates {
		if time.Now().After(c.avoidUntil[addr]) {
			usable = append(usable, addr)
		}
	}
	if len(usable) == 0 {
		c.refreshAt = time.Time{} // refresh at the next call
		usable = candidates
	}
	return usable[rand.IntN(len(usable))], nil
}

func addrsFrom(a wire.Addresses) []string {
	var addrs []string
	for _, address := range a.Addresses {
		addrs = append(addrs, address.Addr)
	}
	return addrs
}

// avoidAddress marks an address that has failed, so that pickAddress avoids it for a while.
func (c *Client) avoidAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidUntil == nil {
		c.avoidUntil = make(map[string]time.Time)
	}
	c.avoidUntil[addr] = time.Now().Add(avoidDuration)
}

// refreshAddresses asks the known addresses and then the seeds, one after another, for the addresses to use.
func (c *Client) refreshAddresses(ctx context.Context) error {
	c.mu.Lock()
	candidates := addrsFrom(c.addresses)
	c.mu.Unlock()
	candidates = append(candidates, shuffled(c.Seeds)...)
	var lastErr error
	for _, addr := range candidates {
		answer, err := c.fetchAddresses(ctx, addr)
		if err != nil || len(answer.Addresses) == 0 {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.addresses = answer
		c.refreshAt = time.Now().Add(time.Duration(answer.KeepMillis) * time.Millisecond)
		c.mu.Unlock()
		return nil
	}
	return &Error{Op: "addresses", Kind: NoEntry, Err: lastErr, Problem: wire.Problem{Ran: wire.RanNo}}
}

// fetchAddresses asks one instance for the addresses to use.
func (c *Client) fetchAddresses(ctx context.Context, addr string) (wire.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme()+addr+wire.PathAddresses+"?zone="+c.Zone, nil)
	if err != nil {
		return wire.Addresses{}, err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return wire.Addresses{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return wire.Addresses{}, eris.New(resp.Status)
	}
	var answer wire.Addresses
	err = decodeBody(resp.Body, maxAddressesBytes, &answer)
	return answer, err
}

func shuffled(addrs []string) []string {
	result := append([]string(nil), addrs...)
	rand.Shuffle(len(result), func(i, j int) { result[i], result[j] = result[j], result[i] })
	return result
}
