package brambletray.platform.provisioning;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.JsonWriter;
import com.dslplatform.json.ObjectConverter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's JSON, read and written. What is not as the protocol says is a fault; fields that are not known are
 * passed over.
 */
final class PlatformJson {
    private final DslJson<Object> json = new DslJson<>();
    private final JsonWriter writer = json.newWriter();

    /** One page of hosts; {@code next} null on the last. */
    record Page(List<ListedInstance> instances, String next) {}

    Page parseInstances(byte[] body) {
        Map<String, Object> page = object(body);
        List<ListedInstance> hosts = new ArrayList<>();
        for (Map<String, Object> entry : entries(page, "instances")) {
            hosts.add(new ListedInstance(
                    text(entry, "instance-id"),
                    text(entry, "service"),
                    text(entry, "address"),
                    text(entry, "zone"),
                    entry.get("worker") instanceof String worker ? worker : null,
                    "draining".equals(entry.get("oper-state"))));
        }
        return new Page(hosts, page.get("next-token") instanceof String next && !next.isEmpty() ? next : null);
    }

    List<WorkerInfo> parseWorkers(byte[] body) {
        List<WorkerInfo> workers = new ArrayList<>();
        for (Map<String, Object> entry : entries(object(body), "workers")) {
            workers.add(new WorkerInfo(
                    text(entry, "name"),
                    text(entry, "zone"),
                    number(entry, "memory-mb"),
                    number(entry, "free-memory-mb"),
                    "draining".equals(entry.get("oper-state"))));
        }
        return workers;
    }

    StartResponse parseStarted(byte[] body) {
        Map<String, Object> answer = object(body);
        return new StartResponse(CallResult.OK, text(answer, "instance-id"), text(answer, "address"));
    }

    /** An object of texts; names and values in turn. */
    byte[] object(String... fields) {
        writer.reset();
        writer.writeByte((byte) '{');
        for (int i = 0; i + 1 < fields.length; i += 2) {
            if (i > 0) {
                writer.writeByte((byte) ',');
            }
            writer.writeString(fields[i]);
            writer.writeByte((byte) ':');
            writer.writeString(fields[i + 1]);
        }
        writer.writeByte((byte) '}');
        return writer.toByteArray();
    }

    private Map<String, Object> object(byte[] body) {
        try {
            JsonReader<Object> reader = json.newReader(body);
            reader.getNextToken();
            LinkedHashMap<String, Object> read = ObjectConverter.deserializeMap(reader);
            if (read == null) {
                throw new ProvisioningException(
                        "provisioning.platform-answer", "the platform's answer is no JSON object", null);
            }
            return read;
        } catch (IOException | RuntimeException e) {
            throw new ProvisioningException(
                    "provisioning.platform-answer", "the platform's answer cannot be read: " + e.getMessage(), e);
        }
    }

    private static List<Map<String, Object>> entries(Map<String, Object> from, String name) {
        List<Map<String, Object>> entries = new ArrayList<>();
        if (!(from.get(name) instanceof List<?> list)) {
            throw new ProvisioningException(
                    "provisioning.platform-answer", "the platform's answer has no list '" + name + "'", null);
        }
        for (Object each : list) {
            if (!(each instanceof Map<?, ?>)) {
                throw new ProvisioningException(
                        "provisioning.platform-answer", "an entry of '" + name + "' is no object", null);
            }
            @SuppressWarnings("unchecked")
            Map<String, Object> entry = (Map<String, Object>) each;
            entries.add(entry);
        }
        return entries;
    }

    private static String text(Map<String, Object> from, String name) {
        if (from.get(name) instanceof String text) {
            return text;
        }
        throw new ProvisioningException(
                "provisioning.platform-answer", "the platform's answer has no text '" + name + "'", null);
    }

    private static int number(Map<String, Object> from, String name) {
        if (from.get(name) instanceof Number number) {
            return number.intValue();
        }
        throw new ProvisioningException(
                "provisioning.platform-answer", "the platform's answer has no number '" + name + "'", null);
    }
}
