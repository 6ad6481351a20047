package org.lovagegrade.wire;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagegrade.kernel.settings.Settings;

/** Reads the addresses of other processes from the settings. */
public final class AddressSettings {
    private static final String EXPECTED = "host:port";

    private AddressSettings() {}

    /**
     * Reads a list of {@code {"name": ..., "address": ...}}; errors are added to the settings.
     *
     * @param settings the settings
     * @param key the key of the list
     * @return the valid addresses by name, in the order of the list
     */
    public static Map<String, Address> named(Settings settings, String key) {
        Map<String, Address> addresses = new LinkedHashMap<>();
        for (Settings element : settings.objects(key, "a list of {name, address}")) {
            String name = element.text("name", "the name of the process");
            put(addresses, name, element);
        }
        return Collections.unmodifiableMap(addresses);
    }

    /**
     * Reads a list of {@code {"address": ...}}; errors are added to the settings.
     *
     * @param settings the settings
     * @param key the key of the list
     * @return the valid addresses by their text, in the order of the list
     */
    public static Map<String, Address> unnamed(Settings settings, String key) {
        Map<String, Address> addresses = new LinkedHashMap<>();
        for (Settings element : settings.objects(key, "a list of {address}")) {
            put(addresses, element.text("address", EXPECTED), element);
        }
        return Collections.unmodifiableMap(addresses);
    }

    private static void put(Map<String, Address> addresses, String name, Settings element) {
        String text = element.text("address", EXPECTED);
        Address.parse(text)
                .ifPresentOrElse(
                        address -> addresses.put(name, address), () -> element.reject("address", text, EXPECTED));
    }
}
