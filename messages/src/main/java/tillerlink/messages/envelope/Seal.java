package tillerlink.messages.envelope;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A message authentication code made with the fleet's secret: HMAC-SHA256 truncated to {@value
 * #BYTES} bytes. It authenticates datagrams but does not encrypt them. Instances are not
 * thread-safe.
 */
public final class Seal {
  /** The size of a seal, in bytes. */
  public static final int BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  private Seal(Mac mac) {
    this.mac = mac;
  }

  /**
   * Creates an instance for a secret.
   *
   * @param secret the fleet's secret; not empty
   */
  public static Seal of(byte[] secret) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      return new Seal(mac);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("JDK lacks the required algorithm " + ALGORITHM, e);
    }
  }

  /** Returns a 64-bit hash that distinguishes fleets by name; it is not secret. */
  public static long hashOf(String fleet) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(fleet.getBytes(StandardCharsets.UTF_8));
      long hash = 0;
      for (int i = 0; i < Long.BYTES; i++) {
        hash = (hash << Byte.SIZE) | (digest[i] & 0xff);
      }
      return hash;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("JDK lacks the required algorithm SHA-256", e);
    }
  }

  byte[] compute(byte[] bytes, int length) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), BYTES);
  }

  /**
   * Returns whether the bytes after the first {@code length} are the seal of those before, compared
   * in constant time so that timing reveals nothing about the seal.
   */
  boolean verify(byte[] bytes, int length) {
    return MessageDigest.isEqual(
        compute(bytes, length), Arrays.copyOfRange(bytes, length, length + BYTES));
  }
}
