package brambletray.relay.mqtt.clients;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which topics hand messages in: levels that are fixed, and levels that tell something, like
 * {@code bills/{class}/{destination}/{id}}.
 */
public final class TopicScheme {
    private static final Set<String> KNOWN = Set.of("class", "destination", "id", "key", "time", "route");
    private final List<String> levels;

    private TopicScheme(List<String> levels) {
        this.levels = levels;
    }

    /** Reads a scheme; it must tell class and destination. */
    static TopicScheme parse(String text) {
        List<String> levels = List.of(text.split("/", -1));
        Set<String> told = new HashSet<>();
        for (String level : levels) {
            if (level.startsWith("{")) {
                String name = level.endsWith("}") ? level.substring(1, level.length() - 1) : level;
                if (!KNOWN.contains(name) || !told.add(name)) {
                    throw new IllegalArgumentException("expected levels like {class}, {destination}, {id},"
                            + " {key}, {route} or {time}, each once, not " + level);
                }
            } else if (level.isEmpty() || level.contains("+") || level.contains("#")) {
                throw new IllegalArgumentException("expected fixed levels without wildcards");
            }
        }
        if (!told.contains("class") || !told.contains("destination")) {
            throw new IllegalArgumentException("expected the levels {class} and {destination}");
        }
        return new TopicScheme(levels);
    }

    /** What a topic tells; null for one that is not of this scheme. */
    Map<String, String> match(String topic) {
        String[] parts = topic.split("/", -1);
        if (parts.length != levels.size()) {
            return null;
        }
        Map<String, String> told = new HashMap<>();
        for (int i = 0; i < parts.length; i++) {
            String level = levels.get(i);
            if (level.startsWith("{")) {
                if (parts[i].isEmpty()) {
                    return null;
                }
                told.put(level.substring(1, level.length() - 1), parts[i]);
            } else if (!level.equals(parts[i])) {
                return null;
            }
        }
        return told;
    }

    /** True when a filter of a subscription or of a user covers a topic (MQTT 5.0, section 4.7). */
    static boolean covers(String filter, String topic) {
        String[] f = filter.split("/", -1);
        String[] t = topic.split("/", -1);
        if (topic.startsWith("$") && (f[0].equals("+") || f[0].equals("#"))) {
            return false;
        }
        for (int i = 0; i < f.length; i++) {
            if (f[i].equals("#")) {
                return true;
            }
            if (i >= t.length || !f[i].equals("+") && !f[i].equals(t[i])) {
                return false;
            }
        }
        return f.length == t.length;
    }

    /** True for a well-formed filter: wildcards are whole levels, # is the last. */
    static boolean isFilter(String filter) {
        List<String> levels = new ArrayList<>(List.of(filter.split("/", -1)));
        for (int i = 0; i < levels.size(); i++) {
            String level = levels.get(i);
            if (level.contains("#") && (!level.equals("#") || i < levels.size() - 1)
                    || level.contains("+") && !level.equals("+")) {
                return false;
            }
        }
        return !filter.isEmpty() && filter.indexOf('\0') < 0;
    }
}
