package brambletray.platform.proxy;

import java.util.ArrayList;
import java.util.List;

/** All exchanges of one request with instances. */
final class HostExchanges {
    private final List<HostExchange> exchanges = new ArrayList<>(2);

    void add(HostExchange exchange) {
        exchanges.add(exchange);
    }

    int count() {
        return exchanges.size();
    }

    /** Whether one of the exchanges has used this connection. */
    boolean used(HostConnection connection) {
        for (int i = 0; i < exchanges.size(); i++) {
            if (exchanges.get(i).usedConnection(connection)) {
                return true;
            }
        }
        return false;
    }

    /** Releases the responses that were not passed to the client. */
    void releaseResponses() {
        for (int i = 0; i < exchanges.size(); i++) {
            exchanges.get(i).releaseResponse();
        }
    }
}
