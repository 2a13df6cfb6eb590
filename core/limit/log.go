package limit

import (
	"log/slog"

	"jayshift/core/ident"
)

// Log logs that a backend server names another limit than before, zero for none, and which host has seen it.
func Log(log *slog.Logger, server ident.BackendServer, rate Rate, from ident.Host) {
	if rate == 0 {
		log.Info("backend server names no limit any more", "backend-server", string(server), "seen-by", string(from))
		return
	}
	log.Info("backend server names a limit", "backend-server", string(server), "per-second", float64(rate), "seen-by", string(from))
}
