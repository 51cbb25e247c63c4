package brambletray.platform.localsystem;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.JsonWriter;
import com.dslplatform.json.ObjectConverter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** What the system's own addresses answer, read and written with the library. */
public final class JsonValues {
    private JsonValues() {}

    /** An object; {@link LocalSystemException} where it is none. */
    public static Map<String, Object> object(byte[] body) {
        try {
            JsonReader<Object> reader = new DslJson<>().newReader(body);
            reader.getNextToken();
            return ObjectConverter.deserializeMap(reader);
        } catch (IOException | RuntimeException e) {
            throw new LocalSystemException("unreadable", "expected a JSON object, found " + brief(body), e);
        }
    }

    /** The objects of a list; none where there is no such field. */
    @SuppressWarnings("unchecked")
    public static List<Map<String, Object>> list(Map<String, Object> object, String field) {
        return object.get(field) instanceof List<?> list ? (List<Map<String, Object>>) list : List.of();
    }

    /** The field as text; "-" where there is no such field. */
    public static String text(Map<String, Object> object, String field) {
        Object value = object.get(field);
        return value == null ? "-" : value.toString();
    }

    /** The field as a number; 0 where there is no such field. */
    public static long number(Map<String, Object> object, String field) {
        return object.get(field) instanceof Number number ? number.longValue() : 0;
    }

    /** Maps, lists, texts, numbers, flags and nulls. */
    public static byte[] bytes(Object value) {
        DslJson<Object> json = new DslJson<>();
        JsonWriter out = json.newWriter();
        try {
            json.serialize(out, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }

    /** The reason of a refusal's body, or its beginning. */
    public static String reason(byte[] body) {
        if (body.length == 0) {
            return "";
        }
        try {
            Map<String, Object> object = object(body);
            return object.get("reason") == null
                    ? text(object, "code")
                    : text(object, "error") + ": " + text(object, "reason");
        } catch (LocalSystemException fault) {
            return brief(body);
        }
    }

    private static String brief(byte[] body) {
        String text = new String(body, 0, Math.min(body.length, 60), StandardCharsets.UTF_8);
        return '\'' + text.replaceAll("\\p{Cntrl}", " ") + '\'';
    }
}
