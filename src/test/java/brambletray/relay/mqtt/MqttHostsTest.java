package brambletray.relay.mqtt;

import static brambletray.relay.stub.PlatformStub.host;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.serve.RelayProcess;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.MqttHostStub;
import brambletray.relay.stub.PlatformStub;
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
        return mqtt(name, stub, "mqtt");
    }

    private static String mqtt(String name, MqttHostStub stub, String protocol) {
        return host(name, stub.port(), 7, "ready")
                .replace("\"health\"", "\"protocol\":\"" + protocol + "\",\"health\"");
    }

    private static void idle(RelayProcess relay) throws Exception {
        while (!relay.idle()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aCallIsOnePublishAndItsAcknowledgementTheOutcome() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner));
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
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner));
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
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner));
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
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner));
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
        try (MqttHostStub partner = new MqttHostStub(1);
                RelayProcess relay = platform.relay(mqtt("s-1", partner));
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

    /** A PUBREC is the outcome; its PUBREL follows, and a PUBCOMP frees the id. */
    @Test
    void byQosTwoThePubrecIsTheOutcome() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(1);
                RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-qos2"));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            assertTrue(partner.connect().anew(), "an unknown session was taken up");
            MqttHostStub.Publish p = partner.publish();
            p.received(0);
            assertEquals(p.packet(), partner.release());
            idle(relay);
            assertEquals(TAKEN, client.post("b", "pay", 7, 16_000).get(0));
            assertTrue(partner.quiet(), "sent past the receive maximum, before PUBCOMP");
            p.completed();
            MqttHostStub.Publish next = partner.publish();
            assertEquals("b", next.id());
            next.received(0x97);
            MqttHostStub.Publish again = partner.publish();
            assertEquals("b", again.id());
            assertFalse(again.again(), "a refused packet is a new one");
            again.received(0);
            idle(relay);
            assertTrue(platform.notices.isEmpty());
        }
    }

    /** The partner acted, the connection broke before PUBREC, its session lives: the message is delivered, once. */
    @ParameterizedTest
    @ValueSource(strings = {"mqtt-qos2", "mqtt-3.1.1-qos2"})
    void aKeptSessionClearsUpWhatWasOut(String protocol) throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner, protocol));
                var client = new PlatformStub.Client(relay)) {
            partner.sessionPresent = true;
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            MqttHostStub.Publish first = partner.publish();
            first.reset();
            MqttHostStub.Publish again = partner.publish();
            assertTrue(again.again());
            assertEquals(first.packet(), again.packet());
            assertEquals(first.body(), again.body());
            again.received(0);
            assertEquals(again.packet(), partner.release());
            idle(relay);
            assertTrue(platform.notices.isEmpty(), "delivered, and yet given up on");
        }
    }

    /** The partner's session is gone: the message may have run, and an unsafe one is not sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"mqtt-qos2", "mqtt-3.1.1-qos2"})
    void aLostSessionLeavesItUnknown(String protocol) throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner, protocol));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            partner.publish().reset();
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
            assertTrue(partner.quiet(), "an unsafe message was sent again");
        }
    }

    /** The connection breaks between PUBREC and PUBREL: the PUBREL comes first on the next one, and nothing twice. */
    @Test
    void aBreakBetweenPubrecAndPubcomp() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-qos2"));
                var client = new PlatformStub.Client(relay)) {
            partner.sessionPresent = true;
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            MqttHostStub.Publish first = partner.publish();
            first.received(0);
            assertEquals(first.packet(), partner.release());
            idle(relay);
            first.reset();
            assertEquals(TAKEN, client.post("b", "pay", 7, 16_000).get(0));
            MqttHostStub.Publish next = partner.publish();
            assertEquals(first.packet(), partner.release());
            assertEquals("b", next.id());
            assertNotEquals(first.packet(), next.packet(), "an id that the partner still holds");
            next.received(0);
            idle(relay);
        }
    }

    /**
     * The relay is killed with a PUBLISH out: the old session is forgotten on both sides, nothing unsafe is repeated.
     */
    @Test
    void aRelayKilledBeforePubrecBeginsAnew() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10)) {
            partner.sessionPresent = true;
            try (RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-qos2"));
                    var client = new PlatformStub.Client(relay)) {
                assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
                assertNotNull(partner.publish());
                assertTrue(partner.connect().anew());
            }
            try (RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-qos2"));
                    var client = new PlatformStub.Client(relay)) {
                assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
                assertEquals(TAKEN, client.post("b", "pay", 7, 16_000).get(0));
                assertTrue(partner.connect().anew(), "a session whose ids are not known was taken up");
                MqttHostStub.Publish b = partner.publish();
                assertEquals("b", b.id());
                b.received(0);
                idle(relay);
            }
        }
    }

    /** The relay is killed between PUBREC and PUBCOMP: the message has had its end, and is not sent again. */
    @Test
    void aRelayKilledAfterPubrecSendsNothingAgain() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10)) {
            partner.sessionPresent = true;
            try (RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-qos2"));
                    var client = new PlatformStub.Client(relay)) {
                assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
                assertTrue(partner.connect().anew());
                MqttHostStub.Publish a = partner.publish();
                a.received(0);
                assertEquals(a.packet(), partner.release());
                idle(relay);
            }
            try (RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-qos2"));
                    var client = new PlatformStub.Client(relay)) {
                assertEquals(TAKEN, client.post("b", "pay", 7, 16_000).get(0));
                assertTrue(partner.connect().anew());
                MqttHostStub.Publish b = partner.publish();
                assertEquals("b", b.id());
                b.received(0);
                idle(relay);
                assertTrue(partner.quiet(), "sent again after its end");
                assertTrue(platform.notices.isEmpty());
            }
        }
    }

    /** 3.1.1 has no properties: id and key stand in the topic. */
    @Test
    void aPartnerByThreeOneOne() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner, "mqtt-3.1.1"));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            MqttHostStub.Publish p = partner.publish();
            assertEquals(4, partner.connect().version());
            assertEquals("v1/messages/7/a/key-a", p.topic());
            p.ack(0, null);
            idle(relay);
        }
    }

    /** Guards rules 3 and 6: a server that goes tells so; nothing is sent there until its wait is over. */
    @ParameterizedTest
    @ValueSource(ints = {0x8B, 0x9C, 0x9D, 0x89})
    void aDisconnectIsARefusalWithAWait(int reason) throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                RelayProcess relay = platform.relay(mqtt("s-1", partner));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            MqttHostStub.Publish a = partner.publish();
            a.ack(0, null);
            idle(relay);
            long told = System.nanoTime();
            a.disconnect(reason, "700");
            a.channel().closeFuture().await();
            assertEquals(TAKEN, client.post("b", "pay", 7, 16_000).get(0));
            MqttHostStub.Publish b = partner.publish();
            assertTrue(System.nanoTime() - told >= TimeUnit.MILLISECONDS.toNanos(700), "sent in a told wait");
            b.ack(0, null);
            idle(relay);
            assertTrue(platform.notices.isEmpty());
        }
    }

    /** Endpoints of one destination may speak different protocols. */
    @Test
    void oneDestinationByHttpAndMqtt() throws Exception {
        try (MqttHostStub partner = new MqttHostStub(10);
                HostStub http = new HostStub();
                RelayProcess relay = platform.relay(mqtt("s-1", partner), host("s-2", http.port(), 7, "ready"));
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            assertEquals(TAKEN, client.post("b", "bill", 7, 16_000).get(0));
            assertNotNull(partner.publish());
            assertNotNull(http.call());
        }
    }
}
