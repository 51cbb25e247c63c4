package brambletray.relay.http.clients;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that cannot be served as it stands. */
final class Bad extends Exception {
    private static final long serialVersionUID = 1L;
    final transient HttpResponseStatus status;

    Bad(HttpResponseStatus status, String fault) {
        super(fault, null, false, false);
        this.status = status;
    }

    Bad(String fault) {
        this(HttpResponseStatus.BAD_REQUEST, fault);
    }
}
