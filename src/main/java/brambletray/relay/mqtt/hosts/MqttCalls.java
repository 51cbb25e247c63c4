package brambletray.relay.mqtt.hosts;

import brambletray.common.runtime.Machine;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostTransport;
import brambletray.relay.message.Message;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Calls to partners whose endpoints are MQTT servers: the relay is their client, one call is one PUBLISH, its
 * outcome the reason code that comes back. One connection for each host, many calls on it at once, up to the
 * partner's receive maximum. One thread.
 *
 * <p>By QoS 1 the session is clean: after a break nothing is sent again here, what was out may have run, and
 * the module decides what becomes of it within its class. By QoS 2 the session is kept over a break, and what
 * was out is cleared up by it; see {@link PartnerLine}.
 */
public final class MqttCalls implements HostTransport {
    private final Machine machine;
    private final PartnerPackets packets;
    private final Dialect dialect;
    private final int connectTimeout;
    private final IntConsumer whenWritten;
    private final Map<Host, PartnerLine> lines = new LinkedHashMap<>();

    /** {@code name}: of this relay, its client id at the partners'; {@code connectTimeout}: us. */
    public MqttCalls(Machine machine, Dialect dialect, String name, long connectTimeout, IntConsumer whenWritten) {
        this.whenWritten = whenWritten;
        this.machine = machine;
        this.dialect = dialect;
        this.packets = new PartnerPackets(dialect, name);
        this.connectTimeout = (int) Math.max(1, connectTimeout / 1_000);
    }

    private PartnerLine line(Host host) {
        return lines.computeIfAbsent(
                host, h -> new PartnerLine(machine, dialect, packets, connectTimeout, h, whenWritten));
    }

    @Override
    public Call call(Host host, Message message, long patience, Consumer<CallReply> whenEnded) {
        PartnerLine line = line(host);
        OutCall call = new OutCall(line, message, machine.clock(), patience, whenEnded);
        call.timer = machine.loop().schedule(call::giveUp, patience, TimeUnit.MICROSECONDS);
        line.add(call);
        return call;
    }

    @Override
    public void recall(Host host) {
        PartnerLine line = lines.get(host);
        if (line != null) {
            line.takeBack();
        }
    }

    @Override
    public void closeIdle(Host host) {
        PartnerLine line = lines.get(host);
        if (line != null) {
            line.closeWhenIdle();
        }
    }

    @Override
    public boolean forget(Host host) {
        PartnerLine line = lines.get(host);
        if (line != null && line.isOver()) {
            lines.remove(host);
        }
        return !lines.containsKey(host);
    }
}
