package brambletray.platform.controlplane;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonWriter;
import com.dslplatform.json.NumberConverter;

/** One JSON object for operators, written field by field. Loaded with the first such call, not at the start. */
final class JsonObjectWriter {
    private static final DslJson<Object> JSON = new DslJson<>();

    private final JsonWriter out = JSON.newWriter();
    private boolean first = true;

    JsonObjectWriter() {
        out.writeByte((byte) '{');
    }

    private JsonWriter field(String name) {
        between();
        out.writeString(name);
        out.writeByte((byte) ':');
        return out;
    }

    private void between() {
        if (!first) {
            out.writeByte((byte) ',');
        }
        first = false;
    }

    /** {@code value}: null is written as such. */
    JsonObjectWriter text(String name, String value) {
        field(name);
        if (value == null) {
            out.writeNull();
        } else {
            out.writeString(value);
        }
        return this;
    }

    JsonObjectWriter number(String name, long value) {
        NumberConverter.serialize(value, field(name));
        return this;
    }

    JsonObjectWriter flag(String name, boolean value) {
        field(name).writeAscii(value ? "true" : "false");
        return this;
    }

    /** A list of objects begins, each of them with {@link #item}, until {@link #close}. */
    JsonObjectWriter list(String name) {
        field(name).writeByte((byte) '[');
        first = true;
        return this;
    }

    JsonObjectWriter item() {
        between();
        out.writeByte((byte) '{');
        first = true;
        return this;
    }

    /** Ends an {@link #item}. */
    JsonObjectWriter end() {
        out.writeByte((byte) '}');
        first = false;
        return this;
    }

    /** Ends a {@link #list}. */
    JsonObjectWriter close() {
        out.writeByte((byte) ']');
        first = false;
        return this;
    }

    /** The finished object. */
    byte[] bytes() {
        out.writeByte((byte) '}');
        return out.toByteArray();
    }
}
