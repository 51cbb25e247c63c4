package brambletray.mqtt;

import static brambletray.stub.PlatformStub.host;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.serve.Node;
import brambletray.stub.HostStub;
import brambletray.stub.MqttHostStub;
import brambletray.stub.PlatformStub;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Partners that are MQTT servers, under a whole relay over loopback. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MqttHostsTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted";
    @TempDir
    Path folder;
    private PlatformStub platform;

    @BeforeEach
    void begin() throws IOException {
        platform = new PlatformStub(folder);
        Files.writeString(folder.resolve("mqtt.yaml"), "listen: 127.0.0.1:0\n");
        platform.more = "\"mqtt\":\"mqtt.yaml\",";
        platform.openCap = 50;
    }

    @AfterEach
    void end() throws IOException {
        platform.close();
    }

    private static String mqtt(String name, MqttHostStub stub) {
        return host(name, stub.port(), 7, "ready").replace("\"health\"", "\"protocol\":\"mqtt\",\"health\"");
    }

    private static void idle(Node relay) throws Exception {
        while (!relay.idle()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aCallIsOnePublishAndItsAcknowledgementTheOutcome() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10); Node relay = platform.relay(mqtt("s-1", partner));
                var client = new PlatformStub.Client(relay)) {
            for (String id : new String[] {"a", "b"}) {
                assertEquals(TAKEN, client.post(id, "bill", 7, 16_000).get(0));
                MqttHostStub.Publish p = partner.publish();
                assertEquals("v1/messages/7", p.topic());
                assertEquals(id, p.id());
                assertEquals("key-" + id, p.key());
                assertEquals("bill \u00e4\0 of " + id, p.body());
                p.ack(0, null);
                idle(relay);
            }
            assertTrue(platform.notices.isEmpty());
        }
    }

    /** Guards rule 2: the connection breaks after the partner acted and before its PUBACK. */
    @ParameterizedTest
    @ValueSource(strings = {"pay", "bill"})
    void aBreakBeforeTheAcknowledgementMayHaveRun(String messageClass) throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10); Node relay = platform.relay(mqtt("s-1", partner));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", messageClass, 7, 16_000).get(0));
            partner.publish().reset();
            if (messageClass.equals("pay")) {
                assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
                assertTrue(partner.quiet(), "an unsafe message was sent again");
            } else {
                MqttHostStub.Publish again = partner.publish();
                assertEquals("key-a", again.key());
                again.ack(0, null);
                idle(relay);
            }
        }
    }

    /** A server that shuts down ends what is out as perhaps run; what comes after goes to another connection. */
    @Test
    void aServerThatShutsDownAmidACall() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10); Node relay = platform.relay(mqtt("s-1", partner));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            MqttHostStub.Publish first = partner.publish();
            first.disconnect(0x8B);
            MqttHostStub.Publish again = partner.publish();
            assertEquals("a", again.id());
            assertNotSame(first.channel(), again.channel());
            again.ack(0, null);
            idle(relay);
        }
    }

    /** Guards rule 6: a told wait by reason code holds for every message, and a refusal never ran. */
    @Test
    void aToldWaitByReasonCodeIsHeeded() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10); Node relay = platform.relay(mqtt("s-1", partner));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            long refused = System.nanoTime();
            partner.publish().ack(0x97, "700");
            assertEquals(TAKEN, client.post("b", "pay", 7, 16_000).get(0));
            MqttHostStub.Publish next = partner.publish();
            assertTrue(System.nanoTime() - refused >= TimeUnit.MILLISECONDS.toNanos(700), "sent in a told wait");
            next.ack(0, null);
            partner.publish().ack(0, null);
            idle(relay);
            assertTrue(platform.notices.isEmpty());
        }
    }

    /** The partner's receive maximum bounds the calls out. */
    @Test
    void aReceiveMaximumOfOneIsKept() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(1); Node relay = platform.relay(mqtt("s-1", partner));
                var client = new PlatformStub.Client(relay)) {
            for (int i = 0; i < 6; i++) {
                assertEquals(TAKEN, client.post("m" + i, "bill", 7, 16_000).get(0));
            }
            Set<String> ids = new HashSet<>();
            for (int i = 0; i < 6; i++) {
                MqttHostStub.Publish p = partner.publish();
                assertTrue(partner.quiet(), "more than one out");
                ids.add(p.id());
                p.ack(0, null);
            }
            assertEquals(6, ids.size());
            idle(relay);
        }
    }

    /** Endpoints of one destination may speak different protocols. */
    @Test
    void oneDestinationByHttpAndMqtt() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10); HostStub http = new HostStub();
                Node relay = platform.relay(mqtt("s-1", partner), host("s-2", http.port(), 7, "ready"));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            assertEquals(TAKEN, client.post("b", "bill", 7, 16_000).get(0));
            assertNotNull(partner.publish());
            assertNotNull(http.call());
        }
    }
}
