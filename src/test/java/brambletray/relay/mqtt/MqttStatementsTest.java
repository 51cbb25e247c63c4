package brambletray.relay.mqtt;

import static brambletray.relay.stub.PlatformStub.host;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.serve.RelayProcess;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.MqttStub;
import brambletray.relay.stub.PlatformStub;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.IntegerProperty;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttReasonCodeAndPropertiesVariableHeader;
import io.netty.handler.codec.mqtt.MqttVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What MQTT 5.0 demands of a server, as far as no other test shows it; docs/mqtt.md has the table. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MqttStatementsTest {
    private static final MqttProperties NONE = MqttProperties.NO_PROPERTIES;

    @TempDir
    Path folder;

    private PlatformStub platform;
    private HostStub host;

    @BeforeEach
    void begin() throws IOException {
        platform = new PlatformStub(folder);
        host = new HostStub();
    }

    @AfterEach
    void end() throws IOException {
        host.close();
        platform.close();
    }

    private RelayProcess relay() throws Exception {
        Files.writeString(folder.resolve("mqtt.yaml"), "listen: 127.0.0.1:0\n");
        platform.more = "\"mqtt\":\"mqtt.yaml\",";
        platform.openCap = 50;
        return platform.relay(host("s-1", host.port(), 7, "ready"));
    }

    private static MqttStub stub(RelayProcess relay) throws InterruptedException {
        return new MqttStub(relay.mqttAddress(), MqttVersion.MQTT_5);
    }

    private static MqttStub connected(RelayProcess relay, String id, MqttProperties properties)
            throws InterruptedException {
        MqttStub client = stub(relay).connect(id, false, properties, null, 0, false);
        assertEquals(0, code(client));
        return client;
    }

    private static int code(MqttStub client) throws InterruptedException {
        return ((MqttConnAckMessage) client.expect(MqttMessageType.CONNACK))
                        .variableHeader()
                        .connectReturnCode()
                        .byteValue()
                & 0xff;
    }

    private static MqttProperties told(MqttPropertyType type, int value, MqttPropertyType other, int otherValue) {
        MqttProperties properties = new MqttProperties();
        properties.add(new IntegerProperty(type.value(), value));
        properties.add(new IntegerProperty(other.value(), otherValue));
        return properties;
    }

    private static MqttProperties lasting() {
        MqttProperties properties = new MqttProperties();
        properties.add(new IntegerProperty(MqttPropertyType.SESSION_EXPIRY_INTERVAL.value(), 600));
        return properties;
    }

    private void deliver(String id) throws Exception {
        HostStub.Call call = host.call();
        assertEquals(id, call.header("X-Request-ID"));
        call.answer(HostStub.OK);
    }

    /** 4.4.0-1, 3.3.1-1: what a client did not acknowledge comes again with DUP and its packet id. */
    @Test
    void anAnswerThatWasNotAcknowledgedComesAgainWithDup() throws Exception {
        try (RelayProcess relay = relay()) {
            int packet;
            try (MqttStub client = connected(relay, "meter", lasting())) {
                client.subscribe("answers/meter");
                client.publish("bills/bill/7/a", 1, 1, false, NONE, "x");
                client.expect(MqttMessageType.PUBACK);
                deliver("a");
                MqttPublishMessage first = (MqttPublishMessage) client.expect(MqttMessageType.PUBLISH);
                assertFalse(first.fixedHeader().isDup());
                packet = first.variableHeader().packetId();
                client.reset();
            }
            try (MqttStub client = connected(relay, "meter", lasting())) {
                MqttPublishMessage again = (MqttPublishMessage) client.expect(MqttMessageType.PUBLISH);
                assertTrue(again.fixedHeader().isDup());
                assertEquals(packet, again.variableHeader().packetId());
                client.reply(MqttMessageType.PUBACK, packet);
                client.publish("bills/bill/7/b", 2, 1, false, NONE, "x");
                client.expect(MqttMessageType.PUBACK);
                deliver("b");
                MqttPublishMessage next = (MqttPublishMessage) client.expect(MqttMessageType.PUBLISH);
                assertFalse(next.fixedHeader().isDup());
                assertTrue(next.payload().toString(StandardCharsets.UTF_8).contains("\"b\""));
            }
        }
    }

    /** 3.8.4-8: no answer goes out at a higher QoS than the subscription was granted. */
    @Test
    void aSubscriptionOfQos0GetsQos0() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, "meter", NONE)) {
            client.subscribe("answers/meter", MqttQoS.AT_MOST_ONCE);
            client.publish("bills/bill/7/a", 1, 1, false, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            deliver("a");
            MqttPublishMessage answer = (MqttPublishMessage) client.expect(MqttMessageType.PUBLISH);
            assertEquals(MqttQoS.AT_MOST_ONCE, answer.fixedHeader().qosLevel());
        }
    }

    /** 3.1.2-24 and 25: what is larger than the client takes is not sent, and counts as sent. */
    @Test
    void anAnswerLargerThanTheClientTakesIsNotSent() throws Exception {
        MqttProperties small = told(MqttPropertyType.MAXIMUM_PACKET_SIZE, 100, MqttPropertyType.RECEIVE_MAXIMUM, 5);
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, "m", small)) {
            client.subscribe("answers/m");
            String longId = "a".repeat(60);
            client.publish("bills/bill/7/" + longId, 1, 1, false, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            deliver(longId);
            client.publish("bills/bill/7/b", 2, 1, false, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            deliver("b");
            assertTrue(client.answer().contains("\"b\""));
        }
    }

    /** 3.3.4-9: no more answers out than the client's receive maximum. */
    @Test
    void theClientsReceiveMaximumIsKept() throws Exception {
        MqttProperties one = told(MqttPropertyType.RECEIVE_MAXIMUM, 1, MqttPropertyType.SESSION_EXPIRY_INTERVAL, 60);
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, "m", one)) {
            client.subscribe("answers/m");
            for (String id : new String[] {"a", "b"}) {
                client.publish("bills/bill/7/" + id, id.charAt(0), 1, false, NONE, "x");
                client.expect(MqttMessageType.PUBACK);
                deliver(id);
                if (id.equals("a")) {
                    int packet = ((MqttPublishMessage) client.expect(MqttMessageType.PUBLISH))
                            .variableHeader()
                            .packetId();
                    client.publish("bills/bill/7/c", 9, 1, false, NONE, "x");
                    client.expect(MqttMessageType.PUBACK);
                    deliver("c");
                    // A round trip behind the second end: its answer would have come before the PINGRESP.
                    while (!relay.idle()) {
                        Thread.onSpinWait();
                    }
                    client.raw(new byte[] {(byte) 0xC0, 0});
                    client.expect(MqttMessageType.PINGRESP);
                    client.reply(MqttMessageType.PUBACK, packet);
                    assertTrue(client.answer().contains("\"c\""));
                }
            }
            assertTrue(client.answer().contains("\"b\""));
        }
    }

    /** 3.1.2-29: no user property on a PUBACK to a client that wants no problem information. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void adviceComesOnlyToThoseThatWantIt(int wanted) throws Exception {
        Files.writeString(folder.resolve("mqtt.yaml"), "listen: 127.0.0.1:0\n");
        platform.more = "\"mqtt\":\"mqtt.yaml\",";
        platform.openCap = 1;
        MqttProperties asked =
                told(MqttPropertyType.REQUEST_PROBLEM_INFORMATION, wanted, MqttPropertyType.RECEIVE_MAXIMUM, 5);
        try (RelayProcess relay = platform.relay(host("s-1", host.port(), 7, "ready"));
                MqttStub client = connected(relay, "m", asked)) {
            boolean refused = false;
            for (int i = 1; i <= 20 && !refused; i++) {
                client.publish("bills/bill/7/m" + i, i, 1, false, NONE, "x");
                var head = (MqttPubReplyMessageVariableHeader)
                        client.expect(MqttMessageType.PUBACK).variableHeader();
                refused = (head.reasonCode() & 0xff) == 0x97;
                if (refused) {
                    assertEquals(
                            wanted == 1,
                            head.properties().listAll().stream()
                                    .anyMatch(p -> p.propertyId() == MqttPropertyType.USER_PROPERTY.value()));
                }
            }
            assertTrue(refused, "nothing was refused");
        }
    }

    /** What CONNACK says is not there, and what is no MQTT, ends the connection with its reason. */
    @ParameterizedTest
    @CsvSource({"retained,0x9A", "shared,0x9E", "identifier,0xA1", "no filter,0x82", "auth,0x82", "null in a topic,0x81"
    })
    void whatIsNotThereIsTurnedAway(String what, String reason) throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, "m", NONE)) {
            switch (what) {
                // Raw, for the packets are wrong on purpose.
                case "retained" -> client.raw(publish(0x33, "bills/bill/7/a"));
                case "shared" ->
                    client.channel.writeAndFlush(MqttMessageBuilders.subscribe()
                            .messageId(3)
                            .addSubscription(MqttQoS.AT_LEAST_ONCE, "$share/g/answers/m")
                            .build());
                case "identifier" ->
                    client.channel.writeAndFlush(MqttMessageBuilders.subscribe()
                            .messageId(3)
                            .addSubscription(MqttQoS.AT_LEAST_ONCE, "answers/m")
                            .properties(told(
                                    MqttPropertyType.SUBSCRIPTION_IDENTIFIER,
                                    4,
                                    MqttPropertyType.SUBSCRIPTION_IDENTIFIER,
                                    4))
                            .build());
                case "no filter" -> client.raw(new byte[] {(byte) 0x82, 3, 0, 5, 0});
                case "auth" -> client.raw(new byte[] {(byte) 0xF0, 2, 0x18, 0});
                default -> client.raw(publish(0x32, "bills/bill/7/a\0b"));
            }
            var head = (MqttReasonCodeAndPropertiesVariableHeader)
                    client.expect(MqttMessageType.DISCONNECT).variableHeader();
            assertEquals(Integer.decode(reason), head.reasonCode() & 0xff);
            assertTrue(client.closed());
        }
        assertTrue(host.quiet(), "something of it was delivered");
    }

    private static byte[] publish(int first, String topic) {
        byte[] text = topic.getBytes(StandardCharsets.UTF_8);
        byte[] packet = new byte[2 + 2 + text.length + 2 + 1];
        packet[0] = (byte) first;
        packet[1] = (byte) (packet.length - 2);
        packet[3] = (byte) text.length;
        System.arraycopy(text, 0, packet, 4, text.length);
        packet[4 + text.length + 1] = 9;
        return packet;
    }

    /** 4.12.0-1, 3.2.2-13, 3.1.2.11: a CONNECT that asks for what is not there is refused with its reason. */
    @ParameterizedTest
    @CsvSource({"method,0x8C", "will,0x9A", "receive,0x82", "packet,0x82"})
    void aConnectThatCannotBeServedIsRefused(String what, String reason) throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = stub(relay)) {
            MqttProperties properties = new MqttProperties();
            switch (what) {
                case "method" ->
                    properties.add(new MqttProperties.StringProperty(
                            MqttPropertyType.AUTHENTICATION_METHOD.value(), "SCRAM-SHA-1"));
                case "receive" -> properties.add(new IntegerProperty(MqttPropertyType.RECEIVE_MAXIMUM.value(), 0));
                case "packet" -> properties.add(new IntegerProperty(MqttPropertyType.MAXIMUM_PACKET_SIZE.value(), 0));
                default -> {}
            }
            client.connect(
                    "m", true, properties, what.equals("will") ? "bills/bill/7/w" : null, 0, what.equals("will"));
            assertEquals(Integer.decode(reason), code(client));
            assertTrue(client.closed());
        }
    }

    /** 1.5.4-2: a null character in a string closes the connection. */
    @Test
    void anIdWithANullCharacterIsNoMqtt() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = stub(relay)) {
            client.connect("a\0b", true, NONE, null, 0, false);
            assertTrue(client.closed());
        }
    }

    /** 3.1.3-9: a will that is to wait is not sent once its client is back; else it is, when its delay is over. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDelayedWillWaitsForItsClient(boolean back) throws Exception {
        try (RelayProcess relay = relay()) {
            try (MqttStub client = stub(relay).connect("m", false, lasting(), "bills/bill/7/w", 1, false)) {
                assertEquals(0, code(client));
                client.reset();
            }
            if (back) {
                try (MqttStub client = connected(relay, "m", lasting())) {
                    // The will of another client, whose delay begins later, has gone out: this one's did not.
                    try (MqttStub other = stub(relay).connect("n", false, lasting(), "bills/bill/7/v", 1, false)) {
                        assertEquals(0, code(other));
                        other.reset();
                    }
                    assertEquals("v", host.call().header("X-Request-ID"));
                    assertTrue(host.quiet(), "a will of a client that is there");
                    assertTrue(client.quiet());
                }
            } else {
                deliver("w");
            }
        }
    }

    /** A client that reads nothing: what waits for it is bounded, then it is closed, and others are served on. */
    @Test
    void aClientThatDoesNotReadIsClosed() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub slow = new MqttStub(relay.mqttAddress(), MqttVersion.MQTT_5, 2_048);
                MqttStub other = connected(relay, "other", NONE)) {
            slow.connect("slow", true, NONE, null, 0, false);
            assertEquals(0, code(slow));
            Channel channel = slow.channel;
            channel.config().setAutoRead(false);
            byte[] pings = new byte[32 * 1024];
            for (int i = 0; i < pings.length; i += 2) {
                pings[i] = (byte) 0xC0;
            }
            // Each ping asks for an answer of two bytes, until the relay holds a MiB of them and hangs up.
            while (channel.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.wrappedBuffer(pings))
                    .await()
                    .isSuccess()) {
                assertTrue(channel.isActive());
            }
            other.subscribe("answers/other");
            other.publish("bills/bill/7/a", 1, 1, false, NONE, "x");
            other.expect(MqttMessageType.PUBACK);
            deliver("a");
            assertTrue(other.answer().contains("delivered"));
        }
    }
}
