package tillerlink.statements.catalog;

import java.util.Arrays;
import java.util.function.ToIntFunction;
import tillerlink.messages.FieldReader;
import tillerlink.messages.MalformedMessageException;

/** Reads constants that snapshots store by explicit numbers. */
final class StoredNumbers {
  private StoredNumbers() {}

  /**
   * The constant that the current field's number stands for.
   *
   * @throws MalformedMessageException if the number stands for none
   */
  static <E> E read(FieldReader in, E[] constants, ToIntFunction<E> storedNumber)
      throws MalformedMessageException {
    long number = in.number(constants.length - 1);
    return Arrays.stream(constants)
        .filter(constant -> storedNumber.applyAsInt(constant) == number)
        .findFirst()
        .orElseThrow(() -> new MalformedMessageException("no constant of number " + number));
  }
}
