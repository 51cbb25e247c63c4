package brambletray.platform.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.epoll.Epoll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Programs use the native transport on both kinds of machine: NIO can't notice a lost peer, nor a close unread. */
class SocketsTest {
    @ParameterizedTest
    @ValueSource(strings = {"x86_64", "aarch_64"})
    void theNativeTransportIsPackedFor(String architecture) {
        assertNotNull(getClass()
                .getClassLoader()
                .getResource("META-INF/native/libnetty_transport_native_epoll_" + architecture + ".so"));
    }

    @Test
    void theNativeTransportIsUsedOnThisMachine() {
        assertEquals("epoll", Sockets.transport(), () -> String.valueOf(Epoll.unavailabilityCause()));
    }
}
