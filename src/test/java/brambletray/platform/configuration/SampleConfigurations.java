package brambletray.platform.configuration;

import java.nio.charset.StandardCharsets;

/** Configuration bodies for tests, written with single quotes in place of double quotes. */
final class SampleConfigurations {
    private SampleConfigurations() {}

    static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] json) {
        return new String(json, StandardCharsets.UTF_8).replace('"', '\'');
    }

    static String route(String name, String host, String prefix, String service) {
        return "{'name':'" + name + "','host':'" + host + "','path-prefix':'" + prefix
                + "','route-type':'idempotent','timeout-ms':2500,'target-ms':400,'priority':2,'service':'" + service
                + "','retry-count':2}";
    }

    static String service(String name) {
        return "{'name':'" + name
                + "','health-path':null,'max-connections':72,'memory-mb':512,'boot-ms':750,'max-concurrency':4}";
    }

    static String document(long revision, String routes, String services) {
        return "{'revision':" + revision + ",'routes':[" + routes + "],'services':[" + services + "]}";
    }

    /** Routes r1 (to a) and r2 (to b) at {@code h.example}. */
    static String twoRoutes(long revision) {
        return document(
                revision,
                route("r1", "h.example", "/one/", "a") + ',' + route("r2", "h.example", "/two/", "b"),
                service("a") + ',' + service("b"));
    }

    static Configuration configuration(String body) {
        return Configuration.read(bytes(body));
    }
}
