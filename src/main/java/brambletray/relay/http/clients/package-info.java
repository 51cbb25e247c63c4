/** HTTP/1.1 towards clients: requests, answers, the health check and refusals. */
package brambletray.relay.http.clients;
