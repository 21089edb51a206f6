package tillerlink.net.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** The checks of characters that the protocols share. */
final class Ascii {
  private Ascii() {}

  static boolean letterOrDigit(int c) {
    return digit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
  }

  /** Whether a text is a whole number in digits alone, of any length. */
  static boolean digits(String text) {
    return !text.isEmpty() && text.chars().allMatch(Ascii::digit);
  }

  /**
   * @throws IllegalArgumentException if the bytes are no text in UTF-8
   */
  static String utf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      throw new IllegalArgumentException("not UTF-8", e);
    }
  }

  private static boolean digit(int c) {
    return c >= '0' && c <= '9';
  }
}
