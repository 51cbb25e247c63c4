package brambletray.relay.console;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is a call, and what it is answered. */
class CallTableTest {
    private final List<String> done = new ArrayList<>();
    private final Operations operations = new Operations() {
        @Override
        public void ready(Consumer<CommandResponse> then) {
            did("ready", then);
        }

        @Override
        public void figures(Consumer<CommandResponse> then) {
            did("figures", then);
        }

        @Override
        public void exclude(String host, boolean out, Consumer<CommandResponse> then) {
            did((out ? "out " : "in ") + host, then);
        }

        @Override
        public void drain(boolean away, Consumer<CommandResponse> then) {
            did(away ? "away" : "back", then);
        }

        private void did(String what, Consumer<CommandResponse> then) {
            done.add(what);
            then.accept(CommandResponse.yes(what));
        }
    };

    private int call(String method, String uri) {
        int[] status = {0};
        CallTable.run(HttpMethod.valueOf(method), uri, operations, said -> {
            assertEquals(0, status[0], "answered twice");
            status[0] = said.status();
        });
        return status[0];
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /status, ready",
        "GET, /status/metrics, figures",
        "GET, /status?x=1, ready",
        "POST, /maintenance/enter/s-1, out s-1",
        "POST, /maintenance/exit/s-1, in s-1",
        "POST, /maintenance/enter/a%20b, out a b",
        "POST, /maintenance/enter/a+b, out a+b",
        "POST, /maintenance/enter/.., out ..",
        "POST, /standby, away",
        "POST, /active, back"
    })
    void eachCallIsCarriedOutOnce(String method, String uri, String what) {
        assertEquals(200, call(method, uri));
        assertEquals(List.of(what), done);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /, 404",
        "GET, /healthz, 404",
        "GET, /status/, 404",
        "POST, /status, 405",
        "GET, /standby, 405",
        "PUT, /active, 405",
        "GET, /maintenance/enter/s-1, 405",
        "POST, /maintenance/enter/, 400",
        "POST, /maintenance/enter, 404",
        "POST, /maintenance/enter/../x, 400",
        "POST, /maintenance/enter/a%2Fb, 400",
        "POST, /maintenance/enter/%, 400",
        "POST, /maintenance/enter/%zz, 400",
        "POST, /maintenance/enter/%00, 400",
        "POST, /maintenance/leave/s-1, 404"
    })
    void whatIsNoCallTouchesNothing(String method, String uri, int status) {
        assertEquals(status, call(method, uri));
        assertEquals(List.of(), done);
    }

    @Test
    void aNameHasABound() {
        assertEquals(400, call("POST", "/maintenance/enter/" + "x".repeat(10_000)));
        assertEquals(List.of(), done);
    }
}
