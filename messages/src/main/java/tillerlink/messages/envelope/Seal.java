package tillerlink.messages.envelope;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Shows that a datagram was written by somebody who knows the fleet's secret, by HMAC-SHA256 cut to
 * {@value #BYTES} bytes. It hides nothing of what is said. Used by one thread.
 */
public final class Seal {
  public static final int BYTES = 16;
  private static final String KIND = "HmacSHA256";

  private final Mac mac;

  private Seal(Mac mac) {
    this.mac = mac;
  }

  /**
   * @param secret not empty
   */
  public static Seal of(byte[] secret) {
    try {
      Mac mac = Mac.getInstance(KIND);
      mac.init(new SecretKeySpec(secret, KIND));
      return new Seal(mac);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has " + KIND, e);
    }
  }

  /** The sum by which fleets are told apart; no secret. */
  public static long sum(String fleet) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(fleet.getBytes(StandardCharsets.UTF_8));
      long sum = 0;
      for (int i = 0; i < Long.BYTES; i++) {
        sum = sum << Byte.SIZE | digest[i] & 255;
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

  /** Takes as long for a seal that is nearly right as for one that is not right at all. */
  boolean fits(byte[] bytes, int length) {
    return MessageDigest.isEqual(
        of(bytes, length), Arrays.copyOfRange(bytes, length, length + BYTES));
  }
}
