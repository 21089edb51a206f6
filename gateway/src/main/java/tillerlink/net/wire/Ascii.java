package tillerlink.net.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Checks of characters that the protocols share. */
final class Ascii {
  private Ascii() {}

  static boolean letterOrDigit(int character) {
    return digit(character)
        || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z');
  }

  /** Whether a text consists of one digit or more and nothing else. */
  static boolean digits(String text) {
    return !text.isEmpty() && text.chars().allMatch(Ascii::digit);
  }

  /**
   * Decodes UTF-8.
   *
   * @throws MalformedProtocolException if the bytes are none
   */
  static String utf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      throw new MalformedProtocolException("not UTF-8", e);
    }
  }

  private static boolean digit(int character) {
    return character >= '0' && character <= '9';
  }
}
