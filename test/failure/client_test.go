package failure

import (
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// fetch sends one request with an account key and reads the whole response,
// whatever its status.
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

// isDialError reports whether the connection could not be opened, so that no
// accepted request was aborted.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
