package brambletray.platform.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing, serialization, modification, routing and compression of configurations. */
class ConfigurationTest {
    @Test
    void fieldsAndTheirDefaults() {
        String minimalRoute =
                "{'name':'r','host':'H.example:8080','path-prefix':'/','route-type':'non_idempotent','timeout-ms':900.0,'service':'a'}";
        Configuration configuration = SampleConfigurations.configuration(SampleConfigurations.document(
                3,
                minimalRoute + ',' + SampleConfigurations.route("q", "h", "/x/", "a"),
                "{'name':'a','health-path':'/h'}," + SampleConfigurations.service("b")));
        assertEquals(
                new Route(
                        "r",
                        "h.example",
                        "/",
                        RouteKind.NON_IDEMPOTENT,
                        false,
                        900,
                        900,
                        0,
                        1,
                        List.of(new ServiceShare("a", 1))),
                configuration.routes().get("r"));
        assertEquals(
                new Route(
                        "q",
                        "h",
                        "/x/",
                        RouteKind.IDEMPOTENT,
                        false,
                        2500,
                        400,
                        2,
                        2,
                        List.of(new ServiceShare("a", 1))),
                configuration.routes().get("q"));
        assertEquals("/h", configuration.services().get("a").healthPath());
        assertEquals(
                new Service("b", 512, 750, 4, 72, null, false),
                configuration.services().get("b"));
        assertEquals(ClientLimits.DEFAULTS, configuration.limits());
        assertThrows(
                UnsupportedOperationException.class,
                () -> configuration.routes().clear());
    }

    /** Unknown fields, in items and at top level, are preserved including the notation of numbers. */
    @Test
    void unknownFieldsArePreserved() {
        String odd = "{'a':[1,2.50,-0.0,1e3,123456789012345678901234567890,true,null,{'b':'\\u00e9\\n'}]}";
        String body = "{'revision':5,'routes':["
                + SampleConfigurations.route("r", "h", "/", "a").replace("}", ",'tenant':" + odd + "}")
                + "],'services':["
                + SampleConfigurations.service("a").replace("}", ",'tls-mode':false}")
                + "],'quotas':[{'name':'q1','n':1},{'name':'q2','n':2}],'x':" + odd
                + ",'twins':[{'name':'t','n':1},{'name':'t','n':2}],'limits':{'max-body-bytes':10,'odd':1.0}}";
        Configuration configuration = SampleConfigurations.configuration(body);
        assertEquals(body, SampleConfigurations.text(configuration.json()));
        String spaced = body.replace(",'", " ,\n '");
        assertEquals(10, SampleConfigurations.configuration(spaced).limits().maxBodyBytes());
        byte[] shown = SampleConfigurations.configuration(spaced).json();
        assertArrayEquals(shown, Configuration.read(shown).json());

        String added = SampleConfigurations.route("s", "h", "/s/", "a");
        Configuration next = configuration.modify(SampleConfigurations.bytes(
                "{'revision':6,'upsert':{'quotas':[{'name':'q1','n':7}],'limits':{'idle-timeout-ms':99},"
                        + "'services':[],'routes':[" + added + "]},'withdraw':{'quotas':['q2','q9'],'never':['x']}}"));
        assertEquals(
                body.replace("'revision':5", "'revision':6")
                        .replace("{'name':'q1','n':1},{'name':'q2','n':2}", "{'name':'q1','n':7}")
                        .replace("'odd':1.0", "'odd':1.0,'idle-timeout-ms':99")
                        .replace("],'services'", ',' + added + "],'services'"),
                SampleConfigurations.text(next.json()));
        assertEquals(new ClientLimits(16_384, 10, 3_000, 99), next.limits());
        assertEquals(body, SampleConfigurations.text(configuration.json()), "the base was modified");
    }

    @Test
    void namedItemsAreReplacedAddedAndRemoved() {
        Configuration next = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(7))
                .modify(SampleConfigurations.bytes("{'revision':20,'upsert':{'routes':["
                        + SampleConfigurations.route("r1", "h.example", "/uno/", "c") + "],'services':["
                        + SampleConfigurations.service("c")
                        + "]},'withdraw':{'routes':['r2','r-old'],'services':['b']}}"));
        assertEquals(20, next.revision());
        assertEquals(List.of("r1"), List.copyOf(next.routes().keySet()));
        assertEquals(List.of("a", "c"), List.copyOf(next.services().keySet()));
        assertEquals("c", next.match("h.example", "/uno/x").selectService(0));
        assertNull(next.match("h.example", "/one/x"));
        assertNull(next.match("h.example", "/two/x"));
        assertEquals(
                1,
                Configuration.NONE
                        .modify(SampleConfigurations.bytes("{'revision':1,'withdraw':{'routes':[]}}"))
                        .revision());
    }

    /** A change may swap the prefixes of two routes. */
    @Test
    void onlyTheResultOfAChangeIsValidated() {
        Configuration next = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(7))
                .modify(SampleConfigurations.bytes("{'revision':8,'upsert':{'routes':["
                        + SampleConfigurations.route("r2", "h.example", "/one/", "b") + ','
                        + SampleConfigurations.route("r1", "h.example", "/two/", "a") + "]}}"));
        assertEquals("r2", next.match("h.example", "/one/").name());
        assertEquals("r1", next.match("h.example", "/two/").name());
    }

    @ParameterizedTest(name = "{0}{1}")
    @CsvSource(
            nullValues = "404",
            value = {
                "h.example,/a/b/c,ab",
                "h.example,/a/b/,ab",
                "h.example,/a/b,a",
                "h.example,/a/bb/c,a",
                "h.example,/a/,a",
                "h.example,/a,404",
                "H.EXAMPLE,/a/x,a",
                "h.example:8080,/a/x,a",
                "h.example,/a/x?y=/a/b/,a",
                "h.example,/?/a/,404",
                "h.example,//a/b/,404",
                "other.example,/a/x,other",
                "other.example,/,other",
                "none.example,/a/x,404",
                "h.example,'',404",
                "h.example,*,404",
                "h.example,/a/b/c/d/e/f/g/h/i/j/k/l/m/n/o/p,ab",
                "h.example,/a/////////////////////////////////////////////////,a"
            })
    void theLongestPrefixWins(String host, String path, String route) {
        Configuration configuration = SampleConfigurations.configuration(SampleConfigurations.document(
                1,
                SampleConfigurations.route("a", "h.example", "/a/", "s")
                        + ','
                        + SampleConfigurations.route("ab", "h.example", "/a/b/", "s")
                        + ','
                        + SampleConfigurations.route("other", "other.example", "/", "s"),
                SampleConfigurations.service("s")));
        Route match = configuration.match(host, path);
        assertEquals(route, match == null ? null : match.name());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
        'service':{'a':1,'b':3,'c':0}
        'service':[{'name':'a','weight':0.5},{'service':'b','weight':1.5},{'name':'c','weight':0}]
        'service':'a','split':[{'service':'a','weight':25},{'service':'b','weight':75}]
        'service':'a','weights':{'c':0,'a':10,'b':30}
        'services':['b','b','a','b']
        """)
    void trafficIsSplitByWeight(String split) {
        Route route = SampleConfigurations.configuration(SampleConfigurations.document(
                        1,
                        SampleConfigurations.route("r", "h", "/", "a").replace("'service':'a'", split),
                        SampleConfigurations.service("a")
                                + ','
                                + SampleConfigurations.service("b")
                                + ','
                                + SampleConfigurations.service("c")))
                .routes()
                .get("r");
        Map<String, Integer> picked = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            picked.merge(route.selectService(i / 1_000.0), 1, Integer::sum);
        }
        assertEquals(Map.of("a", 250, "b", 750), picked);
        assertNotEquals("c", route.selectService(1), "weight 0 is never selected, even after rounding errors");
    }

    @Test
    void followersApplyChangesOrTheCompressedConfiguration() {
        Configuration base = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(7));
        byte[] body = SampleConfigurations.bytes("{'revision':9,'withdraw':{'routes':['r1']}}");
        byte[] change = new ConfigurationChange(ChangeKind.MODIFY, 7, body).encode();
        assertArrayEquals(base.modify(body).json(), base.apply(change).json());
        assertEquals(
                "configuration.stale",
                assertThrows(
                                ConfigurationException.class,
                                () -> base.apply(change).apply(change))
                        .code());
        byte[] compressed = base.toCompressedBytes();
        assertArrayEquals(
                base.json(), Configuration.fromCompressedBytes(compressed).json());
        compressed[compressed.length / 2] ^= 1;
        assertThrows(ConfigurationException.class, () -> Configuration.fromCompressedBytes(compressed));
        assertThrows(
                ConfigurationException.class,
                () -> Configuration.fromCompressedBytes(Arrays.copyOf(base.toCompressedBytes(), 40)));
        byte[] bomb = DeltaCompression.compress(new byte[64 << 20]);
        assertEquals(
                "configuration.bad-packing",
                assertThrows(ConfigurationException.class, () -> Configuration.fromCompressedBytes(bomb))
                        .code());
    }

    @Test
    void changeBeyondTheSizeLimitIsRejected() {
        Configuration base = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(1));
        String filler = "x".repeat(3 << 20);
        Configuration large = base.modify(SampleConfigurations.bytes("{'revision':2,'upsert':{'a':'" + filler + "'}}"));
        for (String more : List.of("'b':'" + filler + "'", "'quotas':[{'name':'q','x':'" + filler + "'}]")) {
            byte[] body = SampleConfigurations.bytes("{'revision':3,'upsert':{" + more + "}}");
            assertEquals(
                    "configuration.too-large",
                    assertThrows(ConfigurationException.class, () -> large.modify(body))
                            .code());
        }
        assertEquals(2, Configuration.read(large.json()).revision());
    }
}
