package brambletray.platform.storage;

/** One key's new value; null removes the key. Neither key nor value is changed once it has been handed over. */
public record KeyChange(String key, byte[] value) {}
