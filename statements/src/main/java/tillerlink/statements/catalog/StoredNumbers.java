package tillerlink.statements.catalog;

import java.util.Arrays;
import java.util.function.ToIntFunction;
import tillerlink.messages.FieldReader;
import tillerlink.messages.MalformedMessageException;

/** A reader of enum constants that snapshots store as explicit numbers. */
final class StoredNumbers {
  private StoredNumbers() {}

  /**
   * Returns the constant whose stored number is the value of the current field.
   *
   * @param constants all constants of the enum
   * @param storedNumber returns the stored number of a constant
   * @throws MalformedMessageException if no constant has that number
   */
  static <E> E read(FieldReader in, E[] constants, ToIntFunction<E> storedNumber)
      throws MalformedMessageException {
    long number = in.number(constants.length - 1);
    return Arrays.stream(constants)
        .filter(constant -> storedNumber.applyAsInt(constant) == number)
        .findFirst()
        .orElseThrow(
            () ->
                new MalformedMessageException("no enum constant has the stored number " + number));
  }
}
