package brambletray.relay.serve;

import brambletray.common.runtime.Machine;
import brambletray.relay.control.Relay;
import brambletray.relay.core.HostTransport;
import brambletray.relay.core.ProtocolHostTransport;
import brambletray.relay.mqtt.hosts.Dialect;
import brambletray.relay.mqtt.hosts.MqttCalls;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;

/** The ways out of a relay that speaks MQTT too. Apart, so that no class of MQTT is loaded without it. */
final class MqttTransports {
    private MqttTransports() {}

    /** What the list may name as a host's protocol. */
    static Set<String> protocols() {
        Set<String> protocols = new HashSet<>(Dialect.ALL.keySet());
        protocols.add("http");
        return protocols;
    }

    static HostTransport beside(HostTransport http, Machine machine, Relay.Settings settings, IntConsumer whenWritten) {
        Map<String, HostTransport> ways = new HashMap<>();
        ways.put("http", http);
        Dialect.ALL.forEach((protocol, dialect) -> ways.put(
                protocol,
                new MqttCalls(
                        machine,
                        dialect,
                        "relay-" + settings.rank(),
                        settings.allowed().connectTimeout(),
                        whenWritten)));
        return new ProtocolHostTransport(ways);
    }
}
