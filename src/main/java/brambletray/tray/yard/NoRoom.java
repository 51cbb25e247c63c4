package brambletray.tray.yard;

/** No start now; {@code comeBackMs}: ms until it is worth asking again. */
public record NoRoom(String nonce, int comeBackMs) {}
