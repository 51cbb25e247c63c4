package brambletray.relay.mqtt;

import static brambletray.relay.stub.PlatformStub.host;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.mqtt.clients.Users;
import brambletray.relay.serve.RelayProcess;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.MqttStub;
import brambletray.relay.stub.PlatformStub;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttReasonCodeAndPropertiesVariableHeader;
import io.netty.handler.codec.mqtt.MqttVersion;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** MQTT clients of a whole relay over loopback. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MqttClientsTest {
    private static final MqttProperties NONE = MqttProperties.NO_PROPERTIES;

    @TempDir
    Path folder;

    private PlatformStub platform;
    private HostStub host;
    private String limits = "{}";
    private String more = "";

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
        Files.writeString(
                folder.resolve("mqtt.yaml"),
                "listen: 127.0.0.1:0\ntopic: bills/{class}/{destination}/{id}\n" + "limits: " + limits + "\n" + more);
        platform.more = "\"mqtt\":\"mqtt.yaml\",";
        platform.openCap = 50;
        return platform.relay(host("s-1", host.port(), 7, "ready"));
    }

    private static MqttStub stub(RelayProcess relay, MqttVersion version) throws InterruptedException {
        return new MqttStub(relay.mqttAddress(), version);
    }

    private static MqttStub connected(RelayProcess relay, MqttVersion version, String id) throws InterruptedException {
        MqttStub client = stub(relay, version).connect(id, false, 600);
        MqttConnAckMessage ack = (MqttConnAckMessage) client.expect(MqttMessageType.CONNACK);
        assertEquals(
                MqttConnectReturnCode.CONNECTION_ACCEPTED, ack.variableHeader().connectReturnCode());
        return client;
    }

    private static int reason(MqttMessage packet) {
        return packet.variableHeader() instanceof MqttPubReplyMessageVariableHeader head ? head.reasonCode() & 0xff : 0;
    }

    private void deliver(String id) throws Exception {
        HostStub.Call call = host.call();
        assertEquals(id, call.header("X-Request-ID"));
        call.answer(HostStub.OK);
    }

    /** Guards against a second path: taken on, delivered by a call like any other, and answered once. */
    @ParameterizedTest
    @EnumSource(
            value = MqttVersion.class,
            names = {"MQTT_3_1_1", "MQTT_5"})
    void aPublishIsDeliveredAndAnsweredOnce(MqttVersion version) throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, version, "meter")) {
            client.subscribe("answers/meter");
            client.publish("bills/bill/7/a", 1, 1, false, NONE, "line of a");
            assertEquals(0, reason(client.expect(MqttMessageType.PUBACK)));
            HostStub.Call call = host.call();
            assertEquals("a", call.header("X-Request-ID"));
            assertEquals("a", call.header("Idempotency-Key"));
            assertEquals("line of a", call.body());
            call.answer(HostStub.OK);
            assertEquals("answers/meter {\"message\":\"a\",\"outcome\":\"delivered\"}", client.answer());
        }
        assertTrue(platform.notices.isEmpty());
    }

    @Test
    void theResponseTopicAndCorrelationDataOfMqtt5AreHeeded() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, MqttVersion.MQTT_5, "meter")) {
            client.subscribe("mine/#");
            client.publish(
                    "bills/bill/7/a",
                    1,
                    1,
                    false,
                    MqttStub.properties("mine/x", "corr", "key", "k-1", "time", "9000"),
                    "x");
            client.expect(MqttMessageType.PUBACK);
            HostStub.Call call = host.call();
            assertEquals("k-1", call.header("Idempotency-Key"));
            call.answer(HostStub.OK);
            var answer = (io.netty.handler.codec.mqtt.MqttPublishMessage) client.expect(MqttMessageType.PUBLISH);
            assertEquals("mine/x", answer.variableHeader().topicName());
            assertArrayEquals(
                    "corr".getBytes(),
                    ((MqttProperties.BinaryProperty) answer.variableHeader()
                                    .properties()
                                    .getProperty(MqttProperties.MqttPropertyType.CORRELATION_DATA.value()))
                            .value());
        }
    }

    /** QoS 2: the id is held across reconnects and a restart until PUBREL; sent again, it is no second message. */
    @ParameterizedTest
    @EnumSource(
            value = MqttVersion.class,
            names = {"MQTT_3_1_1", "MQTT_5"})
    void aQos2PublishIsTakenOnceAcrossARestart(MqttVersion version) throws Exception {
        try (RelayProcess relay = relay()) {
            MqttStub client = connected(relay, version, "meter");
            client.publish("bills/bill/7/a", 5, 2, false, NONE, "x");
            client.expect(MqttMessageType.PUBREC);
            deliver("a");
            client.reset();
            MqttStub again = connected(relay, version, "meter");
            again.publish("bills/bill/7/a", 5, 2, true, NONE, "x");
            again.expect(MqttMessageType.PUBREC);
            again.reset();
        }
        try (RelayProcess relay = relay()) {
            MqttStub client = connected(relay, version, "meter");
            client.publish("bills/bill/7/a", 5, 2, true, NONE, "x");
            client.expect(MqttMessageType.PUBREC);
            client.reply(MqttMessageType.PUBREL, 5);
            client.expect(MqttMessageType.PUBCOMP);
            client.subscribe("answers/#");
            assertEquals("answers/meter {\"message\":\"a\",\"outcome\":\"delivered\"}", client.answer());
            client.publish("bills/bill/7/b", 5, 2, false, NONE, "x");
            client.expect(MqttMessageType.PUBREC);
            deliver("b");
            client.close();
        }
        assertTrue(host.quiet());
    }

    /** Guards households: sent again after a reconnect, or under another client id, it is the message that it was. */
    @Test
    void aQos1PublishSentAgainIsNoSecondMessage() throws Exception {
        try (RelayProcess relay = relay()) {
            MqttStub client = connected(relay, MqttVersion.MQTT_3_1_1, "meter");
            client.publish("bills/pay/7/a", 1, 1, false, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            deliver("a");
            while (!relay.idle()) {
                Thread.onSpinWait();
            }
            client.publish("bills/pay/7/a", 1, 1, true, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            client.reset();
            MqttStub other = connected(relay, MqttVersion.MQTT_5, "other");
            other.publish("bills/pay/7/a", 9, 1, false, NONE, "x");
            assertEquals(0, reason(other.expect(MqttMessageType.PUBACK)));
            other.close();
        }
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, MqttVersion.MQTT_5, "meter")) {
            client.publish("bills/pay/7/a", 1, 1, true, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            client.publish("bills/pay/7/b", 2, 1, false, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            deliver("b");
        }
    }

    /** Guards sessions against a kill while their clients are connected. */
    @Test
    void aSessionOutlastsTheRelayWhileItsClientIsConnected() throws Exception {
        MqttStub client;
        try (RelayProcess relay = relay()) {
            client = connected(relay, MqttVersion.MQTT_5, "meter");
            client.subscribe("answers/meter");
        }
        try (RelayProcess relay = relay();
                MqttStub again = stub(relay, MqttVersion.MQTT_5).connect("meter", false, 600)) {
            assertTrue(((MqttConnAckMessage) again.expect(MqttMessageType.CONNACK))
                    .variableHeader()
                    .isSessionPresent());
        }
        client.close();
    }

    /** The client is gone when its answer is there: the session keeps it, also over a restart. */
    @Test
    void anAnswerWaitsForItsClient() throws Exception {
        try (RelayProcess relay = relay()) {
            MqttStub client = connected(relay, MqttVersion.MQTT_5, "meter");
            client.subscribe("answers/meter");
            client.publish("bills/bill/7/a", 1, 1, false, NONE, "x");
            client.expect(MqttMessageType.PUBACK);
            HostStub.Call call = host.call();
            client.reset();
            call.answer(HostStub.OK);
            while (!relay.idle()) {
                Thread.onSpinWait();
            }
        }
        for (int i = 0; i < 2; i++) {
            try (RelayProcess relay = relay();
                    MqttStub client = stub(relay, MqttVersion.MQTT_5).connect("meter", false, 600)) {
                MqttConnAckMessage ack = (MqttConnAckMessage) client.expect(MqttMessageType.CONNACK);
                assertTrue(ack.variableHeader().isSessionPresent());
                if (i == 0) {
                    assertEquals("answers/meter {\"message\":\"a\",\"outcome\":\"delivered\"}", client.answer());
                }
                // Its acknowledgement has been noted before this one is.
                client.channel.writeAndFlush(MqttMessageBuilders.unsubscribe()
                        .messageId(3)
                        .addTopicFilter("x")
                        .build());
                client.expect(MqttMessageType.UNSUBACK);
                assertTrue(client.quiet());
            }
        }
    }

    /** A message that is given up is told to its client and to the platform. */
    @Test
    void aMessageThatIsGivenUpIsToldBothWays() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub client = connected(relay, MqttVersion.MQTT_5, "meter")) {
            client.subscribe("answers/meter");
            client.publish("bills/bill/7/a", 1, 1, false, MqttStub.properties(null, null, "time", "400"), "x");
            client.expect(MqttMessageType.PUBACK);
            assertNotNull(host.call());
            assertEquals("answers/meter {\"message\":\"a\",\"outcome\":\"given_up\"}", client.answer());
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
        }
    }

    /** A second connection with the same id takes over; the elder is told, and the answer goes to the second. */
    @Test
    void aSecondConnectionTakesOver() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub first = connected(relay, MqttVersion.MQTT_5, "meter")) {
            first.subscribe("answers/meter");
            first.publish("bills/bill/7/a", 1, 1, false, NONE, "x");
            first.expect(MqttMessageType.PUBACK);
            try (MqttStub second = connected(relay, MqttVersion.MQTT_5, "meter")) {
                var head = (MqttReasonCodeAndPropertiesVariableHeader)
                        first.expect(MqttMessageType.DISCONNECT).variableHeader();
                assertEquals(0x8E, head.reasonCode() & 0xff);
                assertTrue(first.closed());
                deliver("a");
                assertEquals("answers/meter {\"message\":\"a\",\"outcome\":\"delivered\"}", second.answer());
            }
        }
    }

    /** What is not taken on: MQTT 5 is told why and when to come back, 3.1.1 is never told a success. */
    @Test
    void refusalsClaimNoSuccess() throws Exception {
        try (RelayProcess relay = relay();
                MqttStub five = connected(relay, MqttVersion.MQTT_5, "five")) {
            String[] bad = {"other/bill/7/a", "bills/bill/7", "bills/wobble/7/a", "bills/bill/8/a", "bills/bill/x/a"};
            for (int i = 0; i < bad.length; i++) {
                five.publish(bad[i], i + 1, 1 + i % 2, false, NONE, "x");
                assertEquals(
                        0x90,
                        reason(five.expect(i % 2 == 0 ? MqttMessageType.PUBACK : MqttMessageType.PUBREC)),
                        bad[i]);
            }
            five.publish("bills/bill/7/zero", 0, 0, false, NONE, "x");
            int taken = 0;
            MqttMessage ack;
            do {
                five.publish("bills/pay/7/m" + taken, 100 + taken, 1, false, NONE, "x");
                ack = five.expect(MqttMessageType.PUBACK);
                taken++;
            } while (reason(ack) == 0 && taken < 200);
            assertEquals(0x97, reason(ack));
            var properties = ((MqttPubReplyMessageVariableHeader) ack.variableHeader()).properties();
            assertFalse(properties
                    .getProperties(MqttProperties.MqttPropertyType.USER_PROPERTY.value())
                    .isEmpty());
            try (MqttStub three = connected(relay, MqttVersion.MQTT_3_1_1, "three")) {
                three.publish("bills/pay/7/n", 1, 1, false, NONE, "x");
                assertTrue(three.closed());
            }
        }
    }

    @Test
    void namesAndPasswordsAreChecked() throws Exception {
        Files.writeString(
                folder.resolve("users.txt"),
                "# who may\n" + Users.line("solar", "secret", new byte[] {1, 2, 3, 4}, 1_000, "bills/bill/#") + "\n");
        more = "users: users.txt\n";
        try (RelayProcess relay = relay()) {
            for (String password : new String[] {"wrong", "secret"}) {
                try (MqttStub client = stub(relay, MqttVersion.MQTT_5)) {
                    client.channel.writeAndFlush(MqttMessageBuilders.connect()
                            .clientId("c")
                            .username("solar")
                            .password(password.getBytes())
                            .protocolVersion(MqttVersion.MQTT_5)
                            .cleanSession(true)
                            .build());
                    MqttConnAckMessage ack = (MqttConnAckMessage) client.expect(MqttMessageType.CONNACK);
                    if (password.equals("wrong")) {
                        assertEquals(
                                MqttConnectReturnCode.CONNECTION_REFUSED_BAD_USERNAME_OR_PASSWORD,
                                ack.variableHeader().connectReturnCode());
                        assertTrue(client.closed());
                    } else {
                        client.publish("bills/pay/7/a", 1, 1, false, NONE, "x");
                        assertEquals(0x87, reason(client.expect(MqttMessageType.PUBACK)));
                        client.publish("bills/bill/7/a", 2, 1, false, NONE, "x");
                        assertEquals(0, reason(client.expect(MqttMessageType.PUBACK)));
                    }
                }
            }
        }
    }

    /** What breaks the protocol ends the connection with its reason; nothing is taken, and others are served on. */
    @Test
    void protocolErrorsEndTheConnection() throws Exception {
        limits = "{receive_maximum: 2, packet_bytes: 1000}";
        try (RelayProcess relay = relay()) {
            int[][] cases = {{0x82}, {0x94}, {0x82}, {0x95}, {0x81}, {0x93}};
            for (int i = 0; i < cases.length; i++) {
                try (MqttStub client = connected(relay, MqttVersion.MQTT_5, "c" + i)) {
                    switch (i) {
                        case 0 -> client.connect("again", true, 0);
                        case 1 -> {
                            MqttProperties alias = new MqttProperties();
                            alias.add(new MqttProperties.IntegerProperty(35, 17));
                            client.publish("bills/bill/7/a", 1, 1, false, alias, "x");
                        }
                        case 2 -> client.publish("", 1, 1, false, NONE, "x");
                        case 3 -> client.raw(new byte[] {0x30, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x7f, 0, 0});
                        case 4 -> client.raw(new byte[] {(byte) 0x82, 2, 0, 0});
                        default -> {
                            for (int p = 1; p <= 3; p++) {
                                client.publish("bills/pay/7/z" + p, p, 1, false, NONE, "x");
                            }
                            // Acknowledged as they are read, so that three in one piece may still be within two.
                            client.raw(new byte[] {(byte) 0x82, 2, 0, 0});
                        }
                    }
                    if (i < 5) {
                        var head = (MqttReasonCodeAndPropertiesVariableHeader)
                                client.expect(MqttMessageType.DISCONNECT).variableHeader();
                        assertEquals(cases[i][0], head.reasonCode() & 0xff, "case " + i);
                    }
                    assertTrue(client.closed());
                }
            }
        }
    }

    /** Seeded noise in packets of every type: no connection brings the relay to a stop, or a message to a partner. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noiseTakesNothing(long seed) throws Exception {
        Random random = new Random(seed);
        try (RelayProcess relay = relay()) {
            for (int i = 0; i < 150; i++) {
                try (MqttStub client = stub(relay, MqttVersion.MQTT_5)) {
                    if (random.nextBoolean()) {
                        client.connect("noise" + i, true, 0);
                        client.expect(MqttMessageType.CONNACK);
                    }
                    byte[] bytes = new byte[2 + random.nextInt(60)];
                    random.nextBytes(bytes);
                    bytes[0] = (byte) (random.nextInt(16) << 4 | (random.nextInt(4) == 0 ? random.nextInt(16) : 0));
                    bytes[1] = (byte) random.nextInt(bytes.length);
                    client.raw(bytes);
                }
            }
            try (MqttStub client = connected(relay, MqttVersion.MQTT_5, "good")) {
                client.publish("bills/bill/7/a", 1, 1, false, NONE, "x");
                assertEquals(0, reason(client.expect(MqttMessageType.PUBACK)));
                deliver("a");
            }
            assertTrue(host.quiet());
        }
    }

    /** The bytes of packets as a client writes them. */
    private static byte[] bytes(Object... packets) {
        var channel = new io.netty.channel.embedded.EmbeddedChannel(io.netty.handler.codec.mqtt.MqttEncoder.INSTANCE);
        channel.writeOutbound(packets);
        var all = new java.io.ByteArrayOutputStream();
        for (io.netty.buffer.ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            all.writeBytes(io.netty.buffer.ByteBufUtil.getBytes(b));
            b.release();
        }
        return all.toByteArray();
    }

    private static Object publish(String id, int packet) {
        return MqttMessageBuilders.publish()
                .topicName("bills/bill/7/" + id)
                .messageId(packet)
                .qos(io.netty.handler.codec.mqtt.MqttQoS.AT_LEAST_ONCE)
                .payload(io.netty.buffer.Unpooled.copiedBuffer("x", java.nio.charset.StandardCharsets.UTF_8))
                .build();
    }

    /** Packets split at every byte, and many in one piece, are the same packets. */
    @ParameterizedTest
    @EnumSource(
            value = MqttVersion.class,
            names = {"MQTT_3_1_1", "MQTT_5"})
    void packetsMayComeInPiecesOrTogether(MqttVersion version) throws Exception {
        try (RelayProcess relay = relay()) {
            byte[] all = bytes(
                    MqttMessageBuilders.connect()
                            .clientId("meter")
                            .protocolVersion(version)
                            .cleanSession(true)
                            .keepAlive(60)
                            .build(),
                    publish("a", 1),
                    publish("b", 2),
                    publish("c", 3));
            for (int round = 0; round < 2; round++) {
                try (MqttStub client = stub(relay, version)) {
                    if (round == 0) {
                        for (byte b : all) {
                            client.raw(new byte[] {b});
                        }
                    } else {
                        client.raw(all);
                    }
                    client.expect(MqttMessageType.CONNACK);
                    for (int i = 0; i < 3; i++) {
                        assertEquals(0, reason(client.expect(MqttMessageType.PUBACK)));
                    }
                }
            }
            for (int i = 0; i < 3; i++) {
                host.call().answer(HostStub.OK);
            }
            while (!relay.idle()) {
                Thread.onSpinWait();
            }
            assertTrue(host.quiet(), "the second round's were taken for new messages");
        }
    }

    /** Connections beyond the bound are closed, and those that say nothing make room. */
    @Test
    void aCrowdIsBounded() throws Exception {
        limits = "{connections: 20}";
        try (RelayProcess relay = relay()) {
            java.util.List<MqttStub> crowd = new java.util.ArrayList<>();
            for (int i = 0; i < 60; i++) {
                crowd.add(stub(relay, MqttVersion.MQTT_5));
            }
            int closed = 0;
            for (MqttStub stranger : crowd) {
                closed += stranger.closed() ? 1 : 0;
            }
            assertEquals(60, closed);
            connected(relay, MqttVersion.MQTT_5, "meter").close();
        }
    }

    /** Real client libraries as peers. */
    @Test
    void pahoForMqtt5GetsItsAnswers() throws Exception {
        try (RelayProcess relay = relay()) {
            var client = new org.eclipse.paho.mqttv5.client.MqttClient(
                    uri(relay), "paho5", new org.eclipse.paho.mqttv5.client.persist.MemoryPersistence());
            var options = new org.eclipse.paho.mqttv5.client.MqttConnectionOptions();
            options.setCleanStart(false);
            options.setSessionExpiryInterval(60L);
            client.connect(options);
            BlockingQueue<String> answers = new LinkedBlockingQueue<>();
            client.subscribe(
                    new org.eclipse.paho.mqttv5.common.MqttSubscription[] {
                        new org.eclipse.paho.mqttv5.common.MqttSubscription("answers/paho5", 1)
                    },
                    new org.eclipse.paho.mqttv5.client.IMqttMessageListener[] {
                        (topic, message) -> answers.add(new String(message.getPayload()))
                    });
            for (int qos = 1; qos <= 2; qos++) {
                var message = new org.eclipse.paho.mqttv5.common.MqttMessage("x".getBytes());
                message.setQos(qos);
                client.publish("bills/bill/7/p" + qos, message);
                deliver("p" + qos);
                assertEquals(
                        "{\"message\":\"p" + qos + "\",\"outcome\":\"delivered\"}",
                        answers.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS));
            }
            client.disconnect();
            client.close();
        }
    }

    @Test
    void pahoForMqtt311GetsItsAnswers() throws Exception {
        try (RelayProcess relay = relay()) {
            var client = new org.eclipse.paho.client.mqttv3.MqttClient(
                    uri(relay), "paho3", new org.eclipse.paho.client.mqttv3.persist.MemoryPersistence());
            var options = new org.eclipse.paho.client.mqttv3.MqttConnectOptions();
            options.setCleanSession(false);
            client.connect(options);
            BlockingQueue<String> answers = new LinkedBlockingQueue<>();
            client.subscribe("answers/paho3", 1, (topic, message) -> answers.add(new String(message.getPayload())));
            for (int qos = 1; qos <= 2; qos++) {
                client.publish("bills/bill/7/p" + qos, "x".getBytes(), qos, false);
                deliver("p" + qos);
                assertEquals(
                        "{\"message\":\"p" + qos + "\",\"outcome\":\"delivered\"}",
                        answers.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS));
            }
            client.disconnect();
            client.close();
        }
    }

    private static String uri(RelayProcess relay) {
        return "tcp://127.0.0.1:" + relay.mqttAddress().getPort();
    }
}
