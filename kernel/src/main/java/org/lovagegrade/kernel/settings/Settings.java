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
 * Reads and validates a JSON object that may contain comments. Errors are collected, so that {@link #throwIfInvalid()} reports all
 * of them together.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Settings settings = Settings.read(path);
 * int port = settings.integer("httpPort", 0, 65_535, "port number");
 * settings.throwIfInvalid();
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
    private final Set<String> knownKeys = new HashSet<>();
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
     * @return the settings, not yet validated
     * @throws SettingsException if the file can't be read or is not a JSON object
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
     * Parses settings.
     *
     * @param file the name of the source, for error messages
     * @param text the JSON text; Java comments and trailing commas are allowed
     * @return the settings, not yet validated
     * @throws SettingsException if the text is not a JSON object
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
     * Reads a required string.
     *
     * @param key the key
     * @param expected the expected value, for the error message
     * @return the string, or an empty one if it is missing or blank, which {@link #throwIfInvalid()} reports
     */
    public String text(String key, String expected) {
        JsonNode node = get(key);
        if (node == null || !node.isTextual() || node.asText().isBlank()) {
            addError(key, node, expected);
            return "";
        }
        return node.asText();
    }

    /**
     * Reads an optional string.
     *
     * @param key the key
     * @param expected the expected value, for the error message
     * @return the string, or empty if it is absent
     */
    public Optional<String> optionalText(String key, String expected) {
        return get(key) == null ? Optional.empty() : Optional.of(text(key, expected));
    }

    /**
     * Reads a required integer.
     *
     * @param key the key
     * @param min the smallest valid value
     * @param max the largest valid value
     * @param unit the unit, for the error message
     * @return the value, or {@code min} if it is invalid, which {@link #throwIfInvalid()} reports
     */
    public int integer(String key, int min, int max, String unit) {
        JsonNode node = get(key);
        if (node == null || !node.isInt() || node.asInt() < min || node.asInt() > max) {
            addError(key, node, "a whole number from " + min + " to " + max + ", unit: " + unit);
            return min;
        }
        return node.asInt();
    }

    /**
     * Reads an optional integer.
     *
     * @param key the key
     * @param defaultValue the value if the key is absent
     * @param min the smallest valid value
     * @param max the largest valid value
     * @param unit the unit, for the error message
     * @return the value, or {@code min} if it is invalid, which {@link #throwIfInvalid()} reports
     */
    public int integer(String key, int defaultValue, int min, int max, String unit) {
        return get(key) == null ? defaultValue : integer(key, min, max, unit);
    }

    /**
     * Reads an optional decimal number.
     *
     * @param key the key
     * @param min the smallest valid value
     * @param max the largest valid value
     * @param unit the unit, for the error message
     * @return the value, or empty if it is absent, null or invalid; {@link #throwIfInvalid()} reports an invalid value
     */
    public OptionalDouble optionalDouble(String key, double min, double max, String unit) {
        JsonNode node = get(key);
        if (node == null || node.isNull()) {
            return OptionalDouble.empty();
        }
        if (!node.isNumber() || node.asDouble() < min || node.asDouble() > max) {
            addError(key, node, "a number from " + min + " to " + max + ", unit: " + unit);
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(node.asDouble());
    }

    /**
     * Reads an optional 64-bit integer.
     *
     * @param key the key
     * @param min the smallest valid value
     * @param max the largest valid value
     * @param unit the unit, for the error message
     * @return the value, or empty if it is absent, null or invalid; {@link #throwIfInvalid()} reports an invalid value
     */
    public OptionalLong optionalLong(String key, long min, long max, String unit) {
        JsonNode node = get(key);
        if (node == null || node.isNull()) {
            return OptionalLong.empty();
        }
        if (!node.canConvertToLong() || !node.isIntegralNumber() || node.asLong() < min || node.asLong() > max) {
            addError(key, node, "a whole number from " + min + " to " + max + ", unit: " + unit);
            return OptionalLong.empty();
        }
        return OptionalLong.of(node.asLong());
    }

    /**
     * Reads an optional boolean.
     *
     * @param key the key
     * @return the value, or false if it is absent or invalid; {@link #throwIfInvalid()} reports an invalid value
     */
    public boolean flag(String key) {
        JsonNode node = get(key);
        if (node != null && !node.isBoolean()) {
            addError(key, node, "true or false");
        }
        return node != null && node.asBoolean();
    }

    /**
     * Reads a required list of objects.
     *
     * @param key the key
     * @param expected the expected content, for the error message
     * @return the objects, without invalid elements; empty if the value is not a list. {@link #throwIfInvalid()} reports both
     */
    public List<Settings> objects(String key, String expected) {
        JsonNode node = get(key);
        if (node == null || !node.isArray()) {
            addError(key, node, expected);
            return List.of();
        }
        List<Settings> result = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            String path = prefix + key + "[" + i + "]";
            if (!node.get(i).isObject()) {
                errors.add(new SettingError(file, path, node.get(i).toString(), "an object"));
                continue;
            }
            Settings child = new Settings(file, path + ".", node.get(i), errors);
            children.add(child);
            result.add(child);
        }
        return result;
    }

    /**
     * Adds an error found by the caller's own validation; {@link #throwIfInvalid()} reports it.
     *
     * @param key the key
     * @param found the value found
     * @param expected the expected value, for the error message
     */
    public void reject(String key, String found, String expected) {
        errors.add(new SettingError(file, prefix + key, found, expected));
    }

    /**
     * Ends the validation; to be called after all keys were read, since keys that nobody read count as unknown.
     *
     * @throws SettingsException if a value is invalid or missing, or if a key is unknown; carries all errors
     */
    public void throwIfInvalid() throws SettingsException {
        rejectUnknownKeys();
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
    }

    private void rejectUnknownKeys() {
        object.fieldNames().forEachRemaining(key -> {
            if (!knownKeys.contains(key)) {
                addError(
                        key,
                        object.get(key),
                        "no such key; known keys: "
                                + knownKeys.stream().sorted().toList());
            }
        });
        children.forEach(Settings::rejectUnknownKeys);
    }

    private JsonNode get(String key) {
        knownKeys.add(key);
        return object.get(key);
    }

    private void addError(String key, JsonNode node, String expected) {
        errors.add(new SettingError(file, prefix + key, node == null ? "nothing" : node.toString(), expected));
    }
}
