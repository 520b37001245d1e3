package entry

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/store"
)

// RegistrationPrefix is the prefix of the names of stored registrations, one for each instance.
const RegistrationPrefix = "entries/"

const (
	registerRetryDelay       = 500 * clock.Millis(1)
	registrationSyncInterval = 15 * clock.Second // only registrationSyncers instances list the registrations
	registrationSyncers      = 2
)

// register stores the registration of this instance, joins the registered instances, and then calls syncRegistrations
// now and then until the context ends.
func (i *Instance) register(ctx context.Context, admin string) error {
	name := RegistrationPrefix + i.self.Name
	value := encodeRegistration(registration{Member: i.self, Admin: admin})
	for ctx.Err() == nil && !i.writeRegistration(ctx, name, value) {
		_ = clock.Sleep(ctx, registerRetryDelay)
	}
	for ctx.Err() == nil && !i.syncRegistrations(ctx) {
		_ = clock.Sleep(ctx, registerRetryDelay)
	}
	for ctx.Err() == nil {
		_ = clock.Sleep(ctx, registrationSyncInterval)
		if i.group.View().RankedWithin(i.self.Name, "registrations", registrationSyncers) {
			i.syncRegistrations(ctx)
		}
	}
	return nil
}

// writeRegistration stores a registration in place of an earlier one of the same name, and reports whether it succeeded.
func (i *Instance) writeRegistration(ctx context.Context, name string, value []byte) bool {
	old, err := i.store.Get(ctx, name)
	if err != nil && !store.Is(err, store.NotFound) {
		return false
	}
	_, err = i.store.Put(ctx, name, old.Version, value)
	return err == nil
}

// syncRegistrations adds registered instances to the group and deletes the registrations of dead ones. It reports
// whether it could list the registrations.
func (i *Instance) syncRegistrations(ctx context.Context) bool {
	objects, err := i.store.List(ctx, RegistrationPrefix)
	if err != nil {
		return false
	}
	view := i.group.View()
	var registered []member.Member
	for _, o := range objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			slog.Warn("registration not readable", "object", o.Name, "error", err)
			continue
		}
		registered = append(registered, r.Member)
		if view.HasDead(r.Member) {
			_ = i.store.Delete(ctx, o.Name, o.Version)
		}
	}
	i.group.Join(ctx, view.Unknown(registered))
	return true
}

// unregister deletes the registration of this instance.
func (i *Instance) unregister(ctx context.Context) {
	name := RegistrationPrefix + i.self.Name
	o, err := i.store.Get(ctx, name)
	if err == nil {
		_ = i.store.Delete(ctx, name, o.Version)
	}
}
