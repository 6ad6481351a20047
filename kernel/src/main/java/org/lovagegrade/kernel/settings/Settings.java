package org.lovagegrade.kernel.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Reads one JSON object with comments and checks every value; faults are gathered and reported together.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Settings settings = Settings.read(path);
 * int port = settings.integer("httpPort", 0, 65_535, "port number");
 * settings.finish();
 * }</pre>
 */
public final class Settings {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private final String file;
    private final String prefix;
    private final JsonNode object;
    private final List<SettingError> errors;
    private final Set<String> asked = new HashSet<>();
    private final List<Settings> children = new ArrayList<>();

    private Settings(String file, String prefix, JsonNode object, List<SettingError> errors) {
        this.file = file;
        this.prefix = prefix;
        this.object = object;
        this.errors = errors;
    }

    /**
     * Reads a settings file.
     *
     * @param path the file
     * @return the settings, not yet checked
     * @throws SettingsException if the file can't be read or is no JSON object
     */
    public static Settings read(Path path) throws SettingsException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException(
                    List.of(new SettingError(path.toString(), "", e.toString(), "a readable settings file")));
        }
    }

    /**
     * Reads settings from a text.
     *
     * @param file the name to show in messages
     * @param text JSON, with Java comments allowed
     * @return the settings, not yet checked
     * @throws SettingsException if the text is no JSON object
     */
    public static Settings parse(String file, String text) throws SettingsException {
        try {
            JsonNode node = JSON.readTree(text);
            if (!node.isObject()) {
                throw new SettingsException(
                        List.of(new SettingError(file, "", node.getNodeType().toString(), "a JSON object")));
            }
            return new Settings(file, "", node, new ArrayList<>());
        } catch (JsonProcessingException e) {
            throw new SettingsException(List.of(new SettingError(
                    file,
                    "line " + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()),
                    e.getOriginalMessage(),
                    "JSON with comments")));
        }
    }

    /**
     * Reads a text that must be there.
     *
     * @param key the key
     * @param expected what the text should be, for the message
     * @return the text, or an empty one if it is missing, which {@link #finish()} reports
     */
    public String text(String key, String expected) {
        JsonNode node = get(key);
        if (node == null || !node.isTextual() || node.asText().isBlank()) {
            fault(key, node, expected);
            return "";
        }
        return node.asText();
    }

    /**
     * Reads a text that may be absent.
     *
     * @param key the key
     * @param expected what the text should be, for the message
     * @return the text, if there is one
     */
    public Optional<String> optionalText(String key, String expected) {
        return get(key) == null ? Optional.empty() : Optional.of(text(key, expected));
    }

    /**
     * Reads a whole number that must be there.
     *
     * @param key the key
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @param unit the unit, for the message
     * @return the number, or {@code least} if it is bad, which {@link #finish()} reports
     */
    public int integer(String key, int least, int most, String unit) {
        JsonNode node = get(key);
        if (node == null || !node.isInt() || node.asInt() < least || node.asInt() > most) {
            fault(key, node, "a whole number from " + least + " to " + most + ", unit: " + unit);
            return least;
        }
        return node.asInt();
    }

    /**
     * Reads a whole number that may be absent.
     *
     * @param key the key
     * @param fallback the value if the key is absent
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @param unit the unit, for the message
     * @return the number
     */
    public int integer(String key, int fallback, int least, int most, String unit) {
        return get(key) == null ? fallback : integer(key, least, most, unit);
    }

    /**
     * Reads a number that may be absent, with decimals allowed.
     *
     * @param key the key
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @param unit the unit, for the message
     * @return the number, or empty if it is absent or null
     */
    public OptionalDouble decimal(String key, double least, double most, String unit) {
        JsonNode node = get(key);
        if (node == null || node.isNull()) {
            return OptionalDouble.empty();
        }
        if (!node.isNumber() || node.asDouble() < least || node.asDouble() > most) {
            fault(key, node, "a number from " + least + " to " + most + ", unit: " + unit);
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(node.asDouble());
    }

    /**
     * Reads a large whole number that may be absent.
     *
     * @param key the key
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @param unit the unit, for the message
     * @return the number, or empty if it is absent or null
     */
    public OptionalLong whole(String key, long least, long most, String unit) {
        JsonNode node = get(key);
        if (node == null || node.isNull()) {
            return OptionalLong.empty();
        }
        if (!node.canConvertToLong() || !node.isIntegralNumber() || node.asLong() < least || node.asLong() > most) {
            fault(key, node, "a whole number from " + least + " to " + most + ", unit: " + unit);
            return OptionalLong.empty();
        }
        return OptionalLong.of(node.asLong());
    }

    /**
     * Reads a yes or no that may be absent.
     *
     * @param key the key
     * @return true only if the value is true
     */
    public boolean flag(String key) {
        JsonNode node = get(key);
        if (node != null && !node.isBoolean()) {
            fault(key, node, "true or false");
        }
        return node != null && node.asBoolean();
    }

    /**
     * Reads a list of objects.
     *
     * @param key the key
     * @param expected what the list should hold, for the message
     * @return the objects, none if the list is bad
     */
    public List<Settings> objects(String key, String expected) {
        JsonNode node = get(key);
        if (node == null || !node.isArray()) {
            fault(key, node, expected);
            return List.of();
        }
        List<Settings> found = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            String path = prefix + key + "[" + i + "]";
            if (!node.get(i).isObject()) {
                errors.add(new SettingError(file, path, node.get(i).toString(), "an object"));
                continue;
            }
            Settings child = new Settings(file, path + ".", node.get(i), errors);
            children.add(child);
            found.add(child);
        }
        return found;
    }

    /**
     * Reports a fault that only the caller can see.
     *
     * @param key the key
     * @param found what the file holds
     * @param expected what it should hold
     */
    public void reject(String key, String found, String expected) {
        errors.add(new SettingError(file, prefix + key, found, expected));
    }

    /**
     * Ends the check.
     *
     * @throws SettingsException if any value was bad or any key is unknown
     */
    public void finish() throws SettingsException {
        findUnknownKeys();
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
    }

    private void findUnknownKeys() {
        object.fieldNames().forEachRemaining(key -> {
            if (!asked.contains(key)) {
                fault(
                        key,
                        object.get(key),
                        "no such key; known keys: " + asked.stream().sorted().toList());
            }
        });
        children.forEach(Settings::findUnknownKeys);
    }

    private JsonNode get(String key) {
        asked.add(key);
        return object.get(key);
    }

    private void fault(String key, JsonNode node, String expected) {
        errors.add(new SettingError(file, prefix + key, node == null ? "nothing" : node.toString(), expected));
    }
}
