package instance

import "portflow/internal/cluster/settings"

// Upper bounds of fields in a heartbeat.
const (
	maxSlots         = 1 << 20
	maxSequence      = 1 << 53 // largest range in which a float64 is exact
	maxWarmUpSeconds = 86400
)

// ParseHeartbeat parses and validates the decoded body of a heartbeat of the instance with the given ID, received at now. The error
// lists all invalid fields with their paths.
func ParseHeartbeat(id string, tree any, now int64) (Instance, error) {
	reader := settings.NewReader(tree)
	information := reader.At("information")
	status := reader.At("current-status")
	i := Instance{
		ID:       id,
		Address:  reader.At("address").Text(),
		Service:  information.At("service").Text(),
		Version:  information.At("version").Text(),
		Zone:     information.At("zone-name").Text(),
		Slots:    information.At("slot-count").Int(1, maxSlots),
		Sequence: uint64(status.At("sequence").Float(0, maxSequence)),
	}
	switch state := status.At("server-state").Text(); state {
	case "ready", "":
	case "draining":
		i.State = Draining
	default:
		status.At("server-state").Errorf("got %q, must be ready or draining", state)
	}
	if warmUp := status.At("cold-remaining-s"); warmUp.Exists() {
		if remaining := warmUp.Seconds(0, maxWarmUpSeconds); remaining > 0 {
			i.WarmUpUntil = now + remaining
		}
	}
	return i, reader.Err()
}
