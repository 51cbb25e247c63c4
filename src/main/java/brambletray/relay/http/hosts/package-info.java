/** HTTP/1.1 towards hosts: calls on pooled connections, and what came back as an outcome. */
package brambletray.relay.http.hosts;
