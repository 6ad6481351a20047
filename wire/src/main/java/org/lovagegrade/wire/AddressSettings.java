package org.lovagegrade.wire;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagegrade.kernel.settings.Settings;

/** Reads the addresses of other processes from settings. */
public final class AddressSettings {
    private static final String EXPECTED = "host:port";

    private AddressSettings() {}

    /**
     * Reads a list of {@code {"name": ..., "address": ...}}; faults are noted in the settings.
     *
     * @param settings the settings
     * @param key the key of the list
     * @return the sound addresses by name, in their order
     */
    public static Map<String, Address> named(Settings settings, String key) {
        Map<String, Address> addresses = new LinkedHashMap<>();
        for (Settings one : settings.objects(key, "a list of {name, address}")) {
            String name = one.text("name", "the name of the process");
            put(addresses, name, one);
        }
        return Collections.unmodifiableMap(addresses);
    }

    /**
     * Reads a list of {@code {"address": ...}}; faults are noted in the settings.
     *
     * @param settings the settings
     * @param key the key of the list
     * @return the sound addresses by their own text, in their order
     */
    public static Map<String, Address> unnamed(Settings settings, String key) {
        Map<String, Address> addresses = new LinkedHashMap<>();
        for (Settings one : settings.objects(key, "a list of {address}")) {
            put(addresses, one.text("address", EXPECTED), one);
        }
        return Collections.unmodifiableMap(addresses);
    }

    private static void put(Map<String, Address> addresses, String name, Settings one) {
        String text = one.text("address", EXPECTED);
        Address.parse(text)
                .ifPresentOrElse(address -> addresses.put(name, address), () -> one.reject("address", text, EXPECTED));
    }
}
