// Package validate validates certificates, private keys and trusted roots without I/O and without a
// clock: the caller passes in the contents of files and the present time.
//
// It answers three questions:
//
//   - Parse and Material.CheckIdentity: are these files complete and fit to serve?
//   - Rotation.Offer: may they replace the material that serves now?
//   - Rotation.Retirement: until when may a connection that was made earlier carry new requests?
//
// The rules are checked in this order, and the first that is broken is reported:
//
//	rule         condition                                              consequence
//	Unreadable   a file is missing, empty, too large or not readable    pending for SettleTime, then rejected
//	Incomplete   a file holds no complete PEM block of its kind         pending for SettleTime, then rejected
//	KeyMismatch  the private key does not belong to the certificate     pending for SettleTime, then rejected
//	Weak         RSA key too short, small curve, SHA-1 or MD5 signature rejected
//	WrongName    the certificate is not valid for a required name       rejected
//	WrongUsage   the extended key usage excludes the side it is used on rejected
//	NotYetValid  its validity begins later                              pending until then
//	Expired      its validity has ended                                 rejected, unless expiry is permitted
//	Untrusted    no chain leads from it to a trusted root               rejected
//	Revoked      a revocation list of the issuer contains it            rejected
//
// The first three are transient: a certificate and its key are two files that are replaced one after the
// other, so a reader may see one new and one old file for a moment.
package validate
