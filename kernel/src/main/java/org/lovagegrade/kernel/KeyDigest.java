package org.lovagegrade.kernel;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Turns the secret of a key into the digest that the system keeps. */
public final class KeyDigest {
    private KeyDigest() {}

    /**
     * Computes the digest.
     *
     * @param secret the secret, as the caller sent it
     * @return the SHA-256 in 64 hexadecimal digits, or an empty text for an empty secret
     */
    public static String of(String secret) {
        if (secret.isEmpty()) {
            return "";
        }
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("expected: a Java runtime with SHA-256", e);
        }
    }
}
