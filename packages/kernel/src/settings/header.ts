/** The header of a section: `[runner geo-1]` has the kind `runner` and the name `geo-1`. */
export interface Header {
  readonly kind: string;
  readonly name: string;
}
