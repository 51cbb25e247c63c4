package brambletray.platform.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Invalid configurations and changes are rejected with the code of the error and the path of the field. */
class InvalidConfigurationTest {
    private static final String VALID = SampleConfigurations.twoRoutes(7);

    private static void assertRejected(ConfigurationException exception, String code, String field) {
        assertEquals(
                code + " at " + field,
                exception.code().substring("configuration.".length()) + " at " + exception.field());
        assertTrue(exception.getMessage().startsWith(exception.field()), exception.getMessage());
    }

    @Test
    void unmodifiedBodyIsValid() {
        assertEquals(2, SampleConfigurations.configuration(VALID).routes().size());
    }

    /** The valid body with one part replaced. */
    @ParameterizedTest(name = "{0} becomes {1}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
        'revision':7,                   | ``                                | missing         | revision
        'revision':7                    | 'revision':'7'                    | wrong-type      | revision
        'revision':7                    | 'revision':0                      | out-of-range    | revision
        'revision':7                    | 'revision':-7                     | out-of-range    | revision
        'revision':7                    | 'revision':7.5                    | out-of-range    | revision
        'revision':7                    | 'revision':92233720368547758070   | out-of-range    | revision
        'revision':7                    | 'revision':7,'revision':7         | duplicate-field | revision
        'routes':[                      | 'rules':[                         | missing         | routes
        'services':[                    | 'servers':[                       | missing         | services
        'services':[                    | 'services':7,'x':[                | wrong-type      | services
        'routes':[                      | 'routes':[7,                      | wrong-type      | routes[0]
        'name':'r1',                    | ``                                | missing         | routes[0].name
        'name':'r1'                     | 'name':''                         | missing         | routes[0].name
        'name':'r1'                     | 'name':1                          | wrong-type      | routes[0].name
        'name':'r1'                     | 'name':'r2'                       | duplicate-name  | routes[r2].name
        'host':'h.example',             | ``                                | missing         | routes[r1].host
        'host':'h.example'              | 'host':':80'                      | missing         | routes[r1].host
        'path-prefix':'/one/',          | ``                                | missing         | routes[r1].path-prefix
        '/one/'                         | '/one'                            | bad-prefix      | routes[r1].path-prefix
        '/one/'                         | 'one/'                            | bad-prefix      | routes[r1].path-prefix
        '/one/'                         | '/two/'                           | same-place      | routes[r2].path-prefix
        'h.example','path-prefix':'/one/' | 'H.Example:80','path-prefix':'/two/' | same-place | routes[r2].path-prefix
        'route-type':'idempotent',      | ``                                | missing         | routes[r1].route-type
        'route-type':'idempotent'       | 'route-type':'safe'               | bad-route-type  | routes[r1].route-type
        'timeout-ms':2500               | 'timeout-ms':0                    | out-of-range    | routes[r1].timeout-ms
        'timeout-ms':2500               | 'timeout-ms':-1                   | out-of-range    | routes[r1].timeout-ms
        'timeout-ms':2500               | 'timeout-ms':0.4                  | out-of-range    | routes[r1].timeout-ms
        'timeout-ms':2500               | 'timeout-ms':1e999999             | out-of-range    | routes[r1].timeout-ms
        'timeout-ms':2500               | 'timeout-ms':true                 | wrong-type      | routes[r1].timeout-ms
        'target-ms':400                 | 'target-ms':-400                  | out-of-range    | routes[r1].target-ms
        'priority':2                    | 'priority':-1                     | out-of-range    | routes[r1].priority
        'retry-count':2                 | 'retry-count':-1                  | out-of-range    | routes[r1].retry-count
        'service':'a'                   | 'service':'c'                     | unknown-service | routes[r1].service
        'service':'a',                  | ``                                | missing         | routes[r1].service
        'service':'a'                   | 'service':7                       | wrong-type      | routes[r1].service
        'service':'a'                   | 'service':[]                      | no-weight       | routes[r1].service
        'service':'a'                   | 'service':{'a':0,'b':0.0}         | no-weight       | routes[r1].service
        'service':'a'                   | 'service':[{'name':'a','weight':0}] | no-weight     | routes[r1].service
        'service':'a'                   | 'service':[{'name':'a','weight':-1},{'name':'b','weight':3}] | out-of-range | routes[r1].service[0].weight
        'service':'a'                   | 'split':[{'service':'c','weight':0},{'service':'b','weight':1}] | unknown-service | routes[r1].service
        'service':'a'                   | 'split':[{'weight':1}]            | missing         | routes[r1].split[0].name
        'name':'a',                     | ``                                | missing         | services[0].name
        'name':'a'                      | 'name':'b'                        | duplicate-name  | services[b].name
        'memory-mb':512                 | 'memory-mb':0                     | out-of-range    | services[a].memory-mb
        'boot-ms':750                   | 'boot-ms':-750                    | out-of-range    | services[a].boot-ms
        'max-concurrency':4             | 'max-concurrency':0               | out-of-range    | services[a].max-concurrency
        'max-connections':72            | 'max-connections':-72             | out-of-range    | services[a].max-connections
        'health-path':null              | 'health-path':[]                  | wrong-type      | services[a].health-path
        'revision':7                    | 'limits':[],'revision':7          | wrong-type      | limits
        'revision':7                    | 'limits':{'idle-timeout-ms':0},'revision':7    | out-of-range | limits.idle-timeout-ms
        'revision':7                    | 'limits':{'max-body-bytes':-1},'revision':7    | out-of-range | limits.max-body-bytes
        """)
    void invalidInOnePlace(String valid, String invalid, String code, String field) {
        String body = VALID.replaceFirst(Pattern.quote(valid), Matcher.quoteReplacement(invalid));
        assertRejected(
                assertThrows(ConfigurationException.class, () -> SampleConfigurations.configuration(body)),
                code,
                field);
    }

    @ParameterizedTest(name = "[{index}] {0}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', ignoreLeadingAndTrailingWhitespace = false, textBlock = """
        ``|unreadable
         |unreadable
        []|wrong-type
        7|wrong-type
        {}x|unreadable
        {}{}|unreadable
        {'a':1,}|unreadable
        {'a' 1}|unreadable
        {a:1}|unreadable
        {'a':[1,]}|unreadable
        {'a':[1}|unreadable
        {'a':truth}|unreadable
        {'a':nul}|unreadable
        {'a':+1}|unreadable
        {'a':01}|unreadable
        {'a':05.1}|unreadable
        {'a':1.}|unreadable
        {'a':.5}|unreadable
        {'a':1e}|unreadable
        {'a':NaN}|unreadable
        {'a':'\\x'}|unreadable
        {'a':'\\u12g4'}|unreadable
        {'a':'x\ty'}|unreadable
        {\u2003'a':1}|unreadable
        {\013'a':1}|unreadable
        {'a':0. }|unreadable
        {'a':{'b':1,'b':2}}|duplicate-field
        {'a':1,'\\u0061':2}|duplicate-field
        """)
    void notExactlyOneJsonObject(String body, String code) {
        assertEquals(
                "configuration." + code,
                assertThrows(ConfigurationException.class, () -> SampleConfigurations.configuration(body))
                        .code());
    }

    @Test
    void truncatedAnywhere() {
        byte[] body = SampleConfigurations.bytes(VALID);
        for (int length = 0; length < body.length; length++) {
            byte[] part = Arrays.copyOf(body, length);
            assertThrows(
                    ConfigurationException.class,
                    () -> Configuration.read(part),
                    () -> "accepted with " + part.length + " bytes");
        }
    }

    @Test
    void notUtf8TooDeepTooLarge() {
        byte[] body = SampleConfigurations.bytes("{'x':'??'," + VALID.substring(1));
        assertEquals(7, Configuration.read(body).revision());
        body[6] = (byte) 0xc3;
        assertRejected(assertThrows(ConfigurationException.class, () -> Configuration.read(body)), "unreadable", "");
        String deep = "[".repeat(63) + "]".repeat(63);
        assertEquals(
                7,
                SampleConfigurations.configuration("{'x':" + deep + ',' + VALID.substring(1))
                        .revision());
        assertRejected(
                assertThrows(
                        ConfigurationException.class,
                        () -> SampleConfigurations.configuration("{'x':[" + deep + "]," + VALID.substring(1))),
                "too-deep",
                "");
        String filler = " ".repeat(ConfigurationJson.MAX_BODY_BYTES - VALID.length());
        assertEquals(7, SampleConfigurations.configuration(VALID + filler).revision());
        assertRejected(
                assertThrows(
                        ConfigurationException.class, () -> SampleConfigurations.configuration(VALID + filler + ' ')),
                "too-large",
                "");
    }

    /** Each case is a change to the valid configuration, which has revision 7. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
        {'upsert':{}}                                                        | missing         | revision
        {'revision':7}                                                       | old-revision    | revision
        {'revision':9,'upsert':[]}                                           | wrong-type      | upsert
        {'revision':9,'upsert':{'routes':{}}}                                | wrong-type      | upsert.routes
        {'revision':9,'upsert':{'services':[{}]}}                            | missing         | services[0].name
        {'revision':9,'upsert':{'services':[{'name':'c'},{'name':'c'}]}}     | duplicate-name  | services[c].name
        {'revision':9,'upsert':{'limits':{'header-timeout-ms':'x'}}}         | wrong-type      | limits.header-timeout-ms
        {'revision':9,'withdraw':{'services':['a']}}                         | unknown-service | routes[r1].service
        {'revision':9,'withdraw':{'routes':'r1'}}                            | wrong-type      | withdraw.routes
        {'revision':9,'withdraw':{'routes':[1]}}                             | wrong-type      | withdraw.routes[0]
        {'revision':9,'upsert':{'services':[{'name':'c'}]},'withdraw':{'services':['c']}} | ambiguous | withdraw.services[0]
        """)
    void invalidChanges(String body, String code, String field) {
        Configuration base = SampleConfigurations.configuration(VALID);
        assertRejected(
                assertThrows(ConfigurationException.class, () -> base.modify(SampleConfigurations.bytes(body))),
                code,
                field);
        assertEquals(2, base.routes().size());
    }

    @Test
    void changeToAHostAndPrefixInUseIsRejected() {
        Configuration base = SampleConfigurations.configuration(VALID);
        byte[] body = SampleConfigurations.bytes("{'revision':9,'upsert':{'routes':["
                + SampleConfigurations.route("r3", "h.example", "/two/", "a") + "]}}");
        assertRejected(
                assertThrows(ConfigurationException.class, () -> base.modify(body)),
                "same-place",
                "routes[r3].path-prefix");
    }

    @Test
    void replacementNeedsAHigherRevision() {
        Configuration seven = SampleConfigurations.configuration(VALID);
        assertEquals(
                8,
                SampleConfigurations.configuration(SampleConfigurations.twoRoutes(8))
                        .requireNewerThan(seven)
                        .revision());
        assertRejected(
                assertThrows(
                        ConfigurationException.class,
                        () -> SampleConfigurations.configuration(VALID).requireNewerThan(seven)),
                "old-revision",
                "revision");
    }

    @ParameterizedTest
    @CsvSource({
        "'',-1",
        "x,-1",
        "-1,-1",
        "5x,-1",
        "+5,-1",
        "9223372036854775808,-1",
        "12345678901234567890,-1",
        "0,0",
        "57,57",
        "1234567890123456789,1234567890123456789"
    })
    void baseRevisionHeader(String header, long base) {
        if (base < 0) {
            assertEquals(
                    "configuration.bad-base",
                    assertThrows(
                                    ConfigurationException.class,
                                    () -> ConfigurationStateMachine.parseBaseRevision(header))
                            .code());
        } else {
            assertEquals(base, ConfigurationStateMachine.parseBaseRevision(header));
        }
    }
}
