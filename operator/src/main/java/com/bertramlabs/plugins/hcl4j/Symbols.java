package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * Access to the symbols of the hcl4j lexer with their lines and columns. The class is in the
 * package of the library because the lexer is package-private and the public parser drops the
 * positions.
 */
public final class Symbols {
  private Symbols() {}

  /**
   * Returns the top-level symbols of a file with their child symbols.
   *
   * @return symbols whose lines and columns count from 0
   * @throws IOException if the text cannot be read
   * @throws HCLParserException if the text is not HCL
   */
  public static List<Symbol> read(Reader in) throws IOException, HCLParserException {
    HCLLexer lexer = new HCLLexer(in);
    lexer.yylex();
    return lexer.elementStack;
  }
}
