package org.lovagegrade.kernel;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digest of an API key's secret; only the digest is stored, never the secret. */
public final class KeyDigest {
    private KeyDigest() {}

    /**
     * Computes the SHA-256 digest of a secret.
     *
     * @param secret the secret as sent by the client; encoded as UTF-8 for the digest
     * @return the digest as 64 lower-case hexadecimal digits, or an empty string if the secret is empty
     */
    public static String of(String secret) {
        if (secret.isEmpty()) {
            return "";
        }
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not support SHA-256", e);
        }
    }
}
