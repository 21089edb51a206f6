package tillerlink.messages.envelope;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates datagrams by the fleet's secret, with HMAC-SHA256 truncated to {@value #BYTES}
 * bytes. It encrypts nothing. Used by one thread.
 */
public final class Seal {
  /** Bytes of a seal. */
  public static final int BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  private Seal(Mac mac) {
    this.mac = mac;
  }

  /**
   * Makes the seal of a secret.
   *
   * @param secret not empty
   */
  public static Seal of(byte[] secret) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      return new Seal(mac);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has " + ALGORITHM, e);
    }
  }

  /** Returns the hash that distinguishes fleets by their names; it is no secret. */
  public static long sum(String fleet) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(fleet.getBytes(StandardCharsets.UTF_8));
      long sum = 0;
      for (int i = 0; i < Long.BYTES; i++) {
        sum = (sum << Byte.SIZE) | (digest[i] & 0xff);
      }
      return sum;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  byte[] of(byte[] bytes, int length) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), BYTES);
  }

  /** Whether the bytes after {@code length} are the seal of those before; in constant time. */
  boolean fits(byte[] bytes, int length) {
    return MessageDigest.isEqual(
        of(bytes, length), Arrays.copyOfRange(bytes, length, length + BYTES));
  }
}
