package brambletray.relay.mqtt.hosts;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.Host;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connection to one partner's MQTT server, and the calls that wait for it.
 *
 * <p>With a kept session (QoS 2) a break ends no call that is out: the session is taken up on a new
 * connection, where a PUBREC proves that the message had arrived. That is tried for {@link #RESUME_MOST} at
 * most, never for a host that is draining or gone, nor inside a told wait; what is not cleared up may have
 * run.
 */
final class PartnerLine {
    private static final Logger LOG = LoggerFactory.getLogger(PartnerLine.class);
    private static final int PACKET_MOST = 64 * 1024;
    private static final int HEAD_MOST = 1_024;
    /** ns. */
    private static final long RESUME_MOST = 2_000_000_000L;

    private static final long BACK_OFF = 50_000_000L;
    private static final long BACK_OFF_MOST = 800_000_000L;
    private static final long PING_PATIENCE = 2_000_000_000L;
    /** us: for a server that says that it goes, and not for how long. */
    private static final long LEAVING = 1_000_000;

    private final IntConsumer whenWritten;
    private final Machine machine;
    private final Clock clock;
    private final Dialect dialect;
    private final PartnerPackets packets;
    private final int connectTimeout;
    private final Host host;
    private final OutboundSession<OutCall> session;
    /** Calls of which no byte has gone out. */
    private final ArrayDeque<OutCall> waiting = new ArrayDeque<>();

    private Channel channel;
    private boolean ready;
    private boolean anew;
    private boolean closeWhenIdle;
    private boolean used;
    private int packetMost;
    private long keepAlive;
    private long heldUntil;
    private long resumeBy;
    private long backOff = BACK_OFF;
    private long lastRead;
    private long lastWrite;
    private long pinged;
    private Future<?> watch;
    private Future<?> resume;

    /** {@code connectTimeout}: ms. */
    PartnerLine(
            Machine machine,
            Dialect dialect,
            PartnerPackets packets,
            int connectTimeout,
            Host host,
            IntConsumer whenWritten) {
        this.whenWritten = whenWritten;
        this.machine = machine;
        this.clock = machine.clock();
        this.dialect = dialect;
        this.packets = packets;
        this.connectTimeout = connectTimeout;
        this.host = host;
        this.session = new OutboundSession<>(dialect.keepsSession());
        this.heldUntil = clock.nanos();
    }

    // ---- What the pool asks for -----------------------------------------------------------------
    void add(OutCall call) {
        waiting.addLast(call);
        long held = heldUntil - clock.nanos();
        if (held > 0) {
            // Later, for the caller does not know this call yet.
            machine.loop().execute(() -> call.end(Outcome.FULL, held / 1_000));
            return;
        }
        go();
    }

    void forget(OutCall call) {
        waiting.remove(call);
        if (call.packet != 0) {
            session.abandoned(call.packet, call);
        }
    }

    /** The host is not to be sent anything: neither what waits nor what a session would send again. */
    void takeBack() {
        List.copyOf(waiting).forEach(call -> call.end(Outcome.NOT_SENT));
        giveUpResuming();
    }

    void closeWhenIdle() {
        closeWhenIdle = true;
        closeIfIdle();
    }

    boolean isOver() {
        return channel == null && waiting.isEmpty() && !session.awaitsResumption();
    }

    /** A call got no answer in time: perhaps the host is gone without a word. */
    void unanswered() {
        if (ready && lastRead >= pinged) {
            ping();
        }
    }

    // ---- Out ------------------------------------------------------------------------------------
    /** Sends what is to be sent, as much as the partner takes at once; connects first if need be. */
    private void go() {
        if (channel == null && !waiting.isEmpty()) {
            connect();
        }
        if (!ready) {
            return;
        }
        for (OutboundSession.Resumed<OutCall> resumed : session.resume()) {
            if (resumed.call() == null) {
                write(packets.release(resumed.packet(), true));
            } else {
                publish(resumed.call(), true);
            }
        }
        while (ready && !waiting.isEmpty() && session.room() > 0 && !session.awaitsResumption()) {
            OutCall call = waiting.pollFirst();
            call.packet = session.publish(call);
            call.reused = used;
            used = true;
            publish(call, false);
        }
        if (channel != null) {
            channel.flush();
        }
    }

    private void publish(OutCall call, boolean again) {
        byte[] body;
        try {
            body = call.message.body().bytes();
        } catch (IOException e) {
            LOG.warn("message {} not sent: {}", call.message.id(), e.getMessage());
            unsendable(call, again ? Outcome.RESET : Outcome.NOT_SENT);
            return;
        }
        if (body.length + HEAD_MOST > packetMost) {
            LOG.warn(
                    "message {} not sent: host {} takes no packet above {} bytes",
                    call.message.id(),
                    host.name,
                    packetMost);
            unsendable(call, Outcome.ERROR);
            return;
        }
        Channel on = channel;
        write(packets.publish(call.message, body, call.packet, again, call.leftMs()))
                .addListener(done -> {
                    // Kept when the last byte has been handed to the socket: from then on it may run.
                    call.written |= done.isSuccess();
                    if (done.isSuccess()) {
                        whenWritten.accept(1);
                    } else {
                        on.close();
                    }
                });
    }

    private void unsendable(OutCall call, Outcome outcome) {
        if (!call.written) {
            // No byte of it went out: its id is free.
            session.acknowledged(call.packet);
            call.packet = 0;
        }
        call.end(outcome);
    }

    private ChannelFuture write(MqttMessage packet) {
        lastWrite = clock.nanos();
        return channel.write(packet);
    }

    // ---- Connections ----------------------------------------------------------------------------
    private void connect() {
        closeWhenIdle = false;
        anew = session.beginsAnew();
        ChannelFuture connect = machine.dialling(connectTimeout, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(new MqttDecoder(PACKET_MOST), MqttEncoder.INSTANCE, new Packets());
                    }
                })
                .connect(host.address);
        channel = connect.channel();
        connect.addListener(done -> {
            if (connect.channel() != channel) {
                connect.channel().close();
            } else if (done.isSuccess()) {
                lastRead = clock.nanos();
                write(packets.connect(anew));
                channel.flush();
            } else {
                broken(connect.channel(), Outcome.CONNECT_FAILED, 0);
            }
        });
    }

    private void accepted(MqttConnAckMessage ack) {
        MqttProperties properties = ack.variableHeader().properties();
        Channel on = channel;
        if (ack.variableHeader().connectReturnCode() != MqttConnectReturnCode.CONNECTION_ACCEPTED) {
            int reason = ack.variableHeader().connectReturnCode().byteValue() & 0xff;
            long wait = PartnerPackets.toldWait(properties);
            hold(wait);
            broken(on, MqttOutcomes.refused(reason), wait);
            on.close();
            return;
        }
        boolean present = ack.variableHeader().isSessionPresent();
        if (anew && present || PartnerPackets.number(properties, MqttPropertyType.MAXIMUM_QOS, 2) < dialect.qos()) {
            LOG.error(
                    "host {} can't be spoken to by {}: {}",
                    host.name,
                    dialect.protocol(),
                    present ? "it kept a session that it was told to forget" : "it takes no QoS of " + dialect.qos());
            on.close();
            broken(on, Outcome.CONNECT_FAILED, 0);
            return;
        }
        int receiveMaximum = PartnerPackets.number(properties, MqttPropertyType.RECEIVE_MAXIMUM, OutboundSession.IDS);
        session.accepted(anew, present, receiveMaximum).forEach(OutCall::lost);
        if (anew && dialect.keepsSession() && !dialect.five()) {
            // 3.1.1 forgets a session only with one that does not last itself (3.1.2.4): a second connection.
            channel = null;
            on.writeAndFlush(PartnerPackets.disconnect()).addListener(done -> on.close());
            connect();
            return;
        }
        packetMost = PartnerPackets.number(properties, MqttPropertyType.MAXIMUM_PACKET_SIZE, PACKET_MOST);
        packetMost = packetMost <= 0 ? PACKET_MOST : packetMost;
        keepAlive = 1_000_000_000L
                * PartnerPackets.number(properties, MqttPropertyType.SERVER_KEEP_ALIVE, PartnerPackets.KEEP_ALIVE_S);
        ready = true;
        if (keepAlive > 0) {
            watchOver(on);
        }
        go();
        closeIfIdle();
    }

    private void hold(long wait) {
        heldUntil = Math.max(heldUntil, clock.nanos() + wait * 1_000);
    }

    /** The connection has ended: what had not gone out never ran. */
    private void broken(Channel which, Outcome unsent, long wait) {
        if (which != channel) {
            return;
        }
        channel = null;
        ready = false;
        used = false;
        if (watch != null) {
            watch.cancel(false);
        }
        List<OutCall> lost = session.broken();
        List<OutCall> unsentCalls = List.copyOf(waiting);
        waiting.clear();
        lost.forEach(OutCall::lost);
        unsentCalls.forEach(call -> call.end(unsent, unsent == Outcome.FULL ? wait : 0));
        resumeLater();
    }

    private void resumeLater() {
        if (!session.awaitsResumption() || channel != null) {
            return;
        }
        long now = clock.nanos();
        resumeBy = resumeBy == 0 ? now + RESUME_MOST : resumeBy;
        long in = Math.max(backOff, heldUntil - now);
        if (!host.ready || session.beginsAnew() || now + in >= resumeBy) {
            giveUpResuming();
            return;
        }
        backOff = Math.min(BACK_OFF_MOST, backOff * 2);
        resume = machine.loop()
                .schedule(
                        () -> {
                            if (channel == null && session.awaitsResumption()) {
                                connect();
                            }
                        },
                        in,
                        TimeUnit.NANOSECONDS);
    }

    private void giveUpResuming() {
        if (resume != null) {
            resume.cancel(false);
        }
        resumeBy = 0;
        session.giveUpResuming().forEach(OutCall::lost);
    }

    private void closeIfIdle() {
        if (closeWhenIdle && ready && !session.isAwaited() && waiting.isEmpty()) {
            Channel on = channel;
            on.writeAndFlush(PartnerPackets.disconnect()).addListener(done -> on.close());
            broken(on, Outcome.CONNECT_RESET, 0);
        }
    }

    private void watchOver(Channel on) {
        watch = machine.loop()
                .schedule(
                        () -> {
                            if (on == channel) {
                                if (clock.nanos() - lastWrite >= keepAlive / 2) {
                                    ping();
                                }
                                watchOver(on);
                            }
                        },
                        keepAlive / 3,
                        TimeUnit.NANOSECONDS);
    }

    /** A host that does not answer a ping is gone without a word. */
    private void ping() {
        Channel on = channel;
        long asked = clock.nanos();
        pinged = asked;
        write(PartnerPackets.ping());
        on.flush();
        machine.loop()
                .schedule(
                        () -> {
                            if (on == channel && lastRead <= asked) {
                                LOG.warn("host {} does not answer a ping: connection closed", host.name);
                                on.close();
                            }
                        },
                        PING_PATIENCE,
                        TimeUnit.NANOSECONDS);
    }

    // ---- In -------------------------------------------------------------------------------------
    private void acknowledged(MqttMessage packet, boolean received) {
        int id = PartnerPackets.packet(packet);
        int reason = PartnerPackets.reason(packet);
        Outcome outcome = MqttOutcomes.published(reason);
        boolean owned = received && reason < 0x80;
        OutCall call = owned ? session.received(id) : session.acknowledged(id);
        resumeBy = 0;
        backOff = BACK_OFF;
        long wait = outcome == Outcome.FULL ? PartnerPackets.toldWait(PartnerPackets.properties(packet)) : 0;
        if (wait > 0) {
            // Guards rule 6 where nobody waits for this call any more, and the module is not told.
            hold(wait);
            List.copyOf(waiting).forEach(other -> other.end(Outcome.FULL, wait));
            giveUpResuming();
        }
        if (call != null) {
            call.end(outcome, wait);
        }
        if (owned && ready) {
            write(packets.release(id, session.owesRelease(id)));
        }
        go();
        closeIfIdle();
    }

    /** The partner ends the connection and may say why (MQTT 5.0, 3.14.2.1). */
    private void leaving(Channel on, MqttMessage packet) {
        int reason = PartnerPackets.disconnected(packet);
        long wait = PartnerPackets.toldWait(PartnerPackets.properties(packet));
        Outcome unsent = MqttOutcomes.disconnected(reason);
        if (wait == 0 && MqttOutcomes.leaves(reason)) {
            wait = LEAVING;
        }
        hold(wait);
        broken(on, unsent, wait);
        on.close();
    }

    private final class Packets extends SimpleChannelInboundHandler<MqttMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, MqttMessage packet) {
            if (context.channel() != channel) {
                return;
            }
            lastRead = clock.nanos();
            if (packet.decoderResult().isFailure()) {
                LOG.warn("host {} sent a packet that can't be read: connection closed", host.name);
                context.close();
                return;
            }
            switch (packet.fixedHeader().messageType()) {
                case CONNACK -> {
                    if (ready) {
                        context.close();
                    } else {
                        accepted((MqttConnAckMessage) packet);
                    }
                }
                case PUBACK -> {
                    if (dialect.qos() == 1) {
                        acknowledged(packet, false);
                    }
                }
                case PUBREC -> {
                    if (dialect.qos() == 2) {
                        acknowledged(packet, true);
                    }
                }
                case PUBCOMP -> {
                    session.completed(PartnerPackets.packet(packet));
                    go();
                    closeIfIdle();
                }
                case DISCONNECT -> leaving(context.channel(), packet);
                default -> {}
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken(context.channel(), Outcome.CONNECT_RESET, 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to host {} closed", host.name, cause);
            }
            context.close();
        }
    }
}
