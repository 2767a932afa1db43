package faker

import (
	"encoding/json"
	"net/http"

	"github.com/carawaytiller/carawaytiller/api/platform"
)

// Control returns a handler, not part of the published interface, that controls and inspects the store:
// GET and PUT /fault (StoreFaults), GET /counts (StoreCounts). A PUT replaces every field.
func (s *Store) Control() http.Handler {
	mux := http.NewServeMux()
	handleGet(mux, "/fault", s.Faults)
	handlePut(mux, "/fault", s.SetFaults)
	handleGet(mux, "/counts", s.Counts)
	return mux
}

// Control returns a handler, not part of the published interface, that controls and inspects the list:
// GET and PUT /fault (VMListFaults), POST /vms (VM), POST /vms/{name}/leave, DELETE /vms/{name}.
func (l *VMList) Control() http.Handler {
	mux := http.NewServeMux()
	handleGet(mux, "/fault", l.Faults)
	handlePut(mux, "/fault", l.SetFaults)
	mux.HandleFunc("POST /vms", decoded(func(vm platform.VM) { l.Register(vm) }))
	mux.HandleFunc("POST /vms/{name}/leave", func(w http.ResponseWriter, r *http.Request) {
		l.Leave(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Control returns a handler, not part of the published interface, that controls and inspects the upstream:
// GET and PUT /fault (UpstreamFaults), PUT /holdings ([]Holding), GET /counts (UpstreamCounts),
// GET /runs/{route} (run counts by request identifier), POST /crash, POST /cold. Serve it at an address other
// than the upstream's own, because the upstream may be down, silent or at its connection limit.
func (u *Upstream) Control() http.Handler {
	mux := http.NewServeMux()
	handleGet(mux, "/fault", u.Faults)
	handlePut(mux, "/fault", u.SetFaults)
	handlePut(mux, "/holdings", u.SetHoldings)
	handleGet(mux, "/counts", u.Counts)
	mux.HandleFunc("GET /runs/{route}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, u.Runs(r.PathValue("route")))
	})
	handlePost(mux, "/crash", u.Crash)
	handlePost(mux, "/cold", u.GoCold)
	return mux
}

func handleGet[T any](mux *http.ServeMux, path string, get func() T) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, get())
	})
}

func handlePut[T any](mux *http.ServeMux, path string, set func(T)) {
	mux.HandleFunc("PUT "+path, decoded(set))
}

func handlePost(mux *http.ServeMux, path string, do func()) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
		do()
		w.WriteHeader(http.StatusNoContent)
	})
}

// decoded returns a handler that decodes the JSON body and passes the value to set.
// It answers 400 Bad Request when the body can't be decoded or has unknown fields.
func decoded[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(value)
}
