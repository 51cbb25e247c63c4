package brambletray.relay.serve;

import brambletray.common.yaml.Faults;
import brambletray.relay.mqtt.clients.MqttSettings;
import java.io.IOException;
import java.nio.file.Path;

/** Apart from {@link Config}, so that a relay that speaks no MQTT loads nothing of it. */
final class MqttSettingsLoader {
    private MqttSettingsLoader() {}

    static MqttSettings read(Path file) throws Config.Unusable, IOException {
        try {
            return MqttSettings.read(file);
        } catch (Faults faults) {
            throw new Config.Unusable(faults.getMessage());
        }
    }
}
