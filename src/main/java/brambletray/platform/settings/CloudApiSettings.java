package brambletray.platform.settings;

/**
 * Where the platform is called, {@code cloud-api.*} in the settings.
 *
 * @param address null: none was given
 * @param ratePerS calls a second to its lists, from all relays together
 * @param coordinatorRatePerS starts and stops a second, from all relays together
 * @param listLagMs how far its lists lag behind
 */
public record CloudApiSettings(Address address, double ratePerS, double coordinatorRatePerS, int listLagMs) {
    static CloudApiSettings from(SettingsFields in) {
        return new CloudApiSettings(
                in.address("cloud-api.address"),
                in.nonNegativeDouble("cloud-api.rate-per-s", 10),
                in.nonNegativeDouble("cloud-api.duty-rate-s", 10),
                in.nonNegativeInt("cloud-api.lag-ms", 1_000));
    }
}
