package brambletray.platform.storage;

/** A key's new value; null removes the key. The value must not be modified after the change has been passed on. */
public record KeyChange(String key, byte[] value) {}
