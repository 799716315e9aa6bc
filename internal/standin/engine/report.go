package engine

import "net/http"

func (eg *Engine) serveReport(wr http.ResponseWriter, _ *http.Request) {
	free, waiting := eg.queue.lengths()
	eg.mu.Lock()
	defer eg.mu.Unlock()
	models := []map[string]string{}
	for name, ld := range eg.models {
		if ld.ready {
			models = append(models, map[string]string{"name": name, "version": ld.version})
		}
	}
	writeJSON(wr, http.StatusOK, map[string]any{
		"boot-id": eg.bootID,
		"models":  models,
		"running": eg.slots - free,
		"waiting": waiting,
	})
}
