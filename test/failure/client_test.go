package failure

import (
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// fetch sends one keyed request and reads the whole answer, whatever it is.
func fetch(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+clinicKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// refusedToConnect reports whether no connection was made, so that nothing was
// cut.
func refusedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
