/**
 * Options shared by the commands that contact daemons.
 */
import { Option } from 'clipanion';

/** @returns the required option `--operators` */
export const operatorsOption = () =>
  Option.String('--operators', {
    required: true,
    description: 'Comma-separated addresses of the operator interfaces of daemons',
  });

/** @returns the option `--token`, which defaults to an environment variable */
export const tokenOption = () =>
  Option.String('--token', '', {
    env: 'TOUCANDYKE_OPERATOR_TOKEN',
    description: 'Bearer token of the operators',
  });
